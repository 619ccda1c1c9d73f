package org.jujuberouter.platform;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import org.jujuberouter.configcheck.CheckedConfiguration;
import org.jujuberouter.misc.Json;

/** Reads a document with the decoder that instances use, and reports what they would not take as written. */
public final class ConfigurationReader {
    /** Maximum size of a document: instances read a response of the store, which holds it in Base64, up to 8 MB. */
    public static final int MAX_BYTES = 6_000_000;

    /**
     * Instances ignore text behind the document and all but the last of several fields with the same name; in a document
     * that is yet to be sent both are mistakes.
     */
    private static final ObjectReader READER = Json.MAPPER
            .readerFor(JsonNode.class)
            .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .with(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);

    private ConfigurationReader() {}

    /** Decodes a document; throws with the location if it is not a JSON object in UTF-8 of an accepted size. */
    public static CheckedConfiguration read(byte[] document) throws UnreadableDocumentException {
        if (document.length > MAX_BYTES) {
            throw UnreadableDocumentException.of(
                    "the document is larger than " + MAX_BYTES + " bytes, which is more than an instance reads");
        }
        requireUtf8(document);
        try (JsonParser parser = READER.createParser(document)) {
            return ConfigurationDecoder.check(parse(parser));
        } catch (IOException e) {
            throw UnreadableDocumentException.of(String.valueOf(e.getMessage()));
        }
    }

    private static JsonNode parse(JsonParser parser) throws IOException, UnreadableDocumentException {
        try {
            JsonNode root = READER.readValue(parser);
            if (root == null || !root.isObject()) {
                throw UnreadableDocumentException.of("line 1, column 1: the document is not a JSON object");
            }
            return root;
        } catch (JsonProcessingException e) {
            // Exceeded limits of the parser, such as that on nesting, have no location of their own.
            JsonLocation location = e.getLocation() == null ? parser.currentLocation() : e.getLocation();
            throw UnreadableDocumentException.of(location(location) + reason(e));
        }
    }

    private static void requireUtf8(byte[] document) throws UnreadableDocumentException {
        CharsetDecoder decoder = StandardCharsets.UTF_8
                .newDecoder()
                .onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT);
        ByteBuffer in = ByteBuffer.wrap(document);
        CharBuffer out = CharBuffer.allocate(8_192);
        CoderResult result = CoderResult.OVERFLOW;
        while (result.isOverflow()) {
            out.clear();
            result = decoder.decode(in, out, true);
        }
        if (result.isError()) {
            throw UnreadableDocumentException.of("byte offset " + in.position() + ": the document is not UTF-8");
        }
    }

    private static String location(JsonLocation location) {
        // The parser states column 0 for an empty document.
        return "line " + location.getLineNr() + ", column " + Math.max(1, location.getColumnNr()) + ": ";
    }

    /** Returns the parser's message, without a quoted part of the document, which may hold an API key. */
    private static String reason(JsonProcessingException e) {
        String message = String.valueOf(e.getOriginalMessage());
        if (message.startsWith("Unrecognized token")) {
            return "unrecognized token";
        }
        // The place where an open object or list starts is given with the source, which is not a file for the parser.
        String firstLine = message.lines().findFirst().orElse("not JSON");
        int start = firstLine.indexOf(" (start marker at ");
        return start < 0 ? firstLine : firstLine.substring(0, start);
    }
}
