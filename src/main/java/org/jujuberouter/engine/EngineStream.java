package org.jujuberouter.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Json;

/**
 * Reads server-sent events from one connection to an engine.
 *
 * <p>Reads block. As long as nothing is read, TCP flow control applies backpressure to the engine. A blocked read ends
 * when another thread closes the stream.
 */
public final class EngineStream implements AutoCloseable {
    private static final String DATA = "data:";
    private static final String DONE = "[DONE]";

    private final String address;
    private final InputStream in;
    private final BufferedReader lines;

    private EngineStream(String address, InputStream in) {
        this.address = address;
        this.in = in;
        this.lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    }

    /** Returns a stream that reads the body of a response. */
    static EngineStream of(String address, InputStream in) {
        return new EngineStream(address, in);
    }

    /** Waits for the next event and returns it. */
    public EngineEvent next() throws EngineException {
        try {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (line.startsWith(DATA)) {
                    return parse(line.substring(DATA.length()).trim());
                }
            }
        } catch (IOException e) {
            throw EngineException.connectionLost(address, e);
        }
        throw EngineException.connectionLost(address, new IOException("the stream ended before its final event"));
    }

    private EngineEvent parse(String data) throws EngineException {
        if (data.equals(DONE)) {
            return new EngineEvent.End();
        }
        JsonNode node;
        try {
            node = Json.MAPPER.readTree(data);
        } catch (JsonProcessingException e) {
            throw EngineException.connectionLost(address, e);
        }
        if (node.hasNonNull("error")) {
            return new EngineEvent.Failure(node.path("error").path("message").asText("unknown"));
        }
        String id = node.path("id").asText("");
        if (id.isBlank()) {
            throw EngineException.connectionLost(address, new IOException("a chunk has no id"));
        }
        JsonNode choice = node.path("choices").path(0);
        String text = choice.has("delta")
                ? choice.path("delta").path("content").asText("")
                : choice.path("text").asText("");
        return new EngineEvent.Chunk(
                RequestId.of(id),
                node.path("offset").asLong(),
                node.path("tokens").asInt(),
                text,
                choice.hasNonNull("finish_reason") ? choice.get("finish_reason").asText() : null);
    }

    @Override
    public void close() {
        try {
            in.close();
        } catch (IOException e) {
            System.getLogger(EngineStream.class.getName())
                    .log(System.Logger.Level.DEBUG, "[engine] Failed to close the stream from {0}: {1}", address, e);
        }
    }
}
