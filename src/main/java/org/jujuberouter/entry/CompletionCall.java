package org.jujuberouter.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.JujuberouterException;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.ModelName;
import org.jujuberouter.misc.Json;

/**
 * A parsed request to the completions API.
 *
 * @param chat whether this is a chat completion
 * @param model the requested model
 * @param stream whether the caller requested server-sent events
 * @param prompt the prompt, used for prefix matching and the length estimate; for a chat, roles and contents of all
 *     messages
 * @param promptTokens the estimated number of prompt tokens
 * @param maxTokens the maximum number of generated tokens
 * @param fingerprint equal for requests with the same model and prompt, so that a resend is recognized
 * @param body the caller's body, from which the body for the engine is derived
 */
record CompletionCall(
        boolean chat,
        ModelName model,
        boolean stream,
        String prompt,
        int promptTokens,
        int maxTokens,
        Fingerprint fingerprint,
        ObjectNode body) {
    static final String COMPLETIONS_PATH = "/v1/completions";
    static final String CHAT_PATH = "/v1/chat/completions";

    /** Engines expose no tokenizer, so token counts are estimated; mixed text averages about four bytes per token. */
    private static final int BYTES_PER_TOKEN = 4;

    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_TOKENS_LIMIT = 131_072;

    /** Parses a body and validates the parameters that the router uses itself. */
    static CompletionCall parse(boolean chat, byte[] bytes) throws JujuberouterException {
        ObjectNode body = parseObject(bytes);
        String model = requireText(body, "model");
        String prompt = chat ? chatText(body) : requireText(body, "prompt");
        JsonNode n = body.path("n");
        if (!n.isMissingNode() && n.asInt(-1) != 1) {
            throw invalid("n", "only one answer is offered");
        }
        JsonNode stream = body.path("stream");
        if (!stream.isMissingNode() && !stream.isBoolean() && !stream.isNull()) {
            throw invalid("stream", "it must be true or false");
        }
        byte[] promptBytes = prompt.getBytes(StandardCharsets.UTF_8);
        int promptTokens = Math.max(1, (promptBytes.length + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
        return new CompletionCall(
                chat,
                ModelName.of(model),
                stream.asBoolean(false),
                prompt,
                promptTokens,
                maxTokens(body),
                fingerprint(model, promptBytes),
                body);
    }

    int totalTokens() {
        return promptTokens + maxTokens;
    }

    String path() {
        return chat ? CHAT_PATH : COMPLETIONS_PATH;
    }

    /** Returns the body to send to an engine, which always streams its response. */
    ObjectNode engineBody() {
        ObjectNode copy = body.deepCopy();
        copy.put("stream", true);
        copy.put("max_tokens", maxTokens);
        return copy;
    }

    /** Returns the body with which another engine continues a response of which a part was already delivered. */
    ObjectNode continuationBody(String textSoFar, long tokensSoFar) {
        ObjectNode copy = engineBody();
        copy.put("continue_text", textSoFar);
        copy.put("max_tokens", Math.max(1, maxTokens - tokensSoFar));
        return copy;
    }

    private static ObjectNode parseObject(byte[] bytes) throws JujuberouterException {
        try {
            if (Json.MAPPER.readTree(bytes) instanceof ObjectNode object) {
                return object;
            }
        } catch (IOException e) {
            String detail = e instanceof com.fasterxml.jackson.core.JsonProcessingException j
                    ? j.getOriginalMessage()
                    : e.getMessage();
            throw JujuberouterException.notRun(ErrorKind.MALFORMED_BODY, detail);
        }
        throw JujuberouterException.notRun(ErrorKind.MALFORMED_BODY, "a JSON object is expected");
    }

    private static String requireText(ObjectNode body, String name) throws JujuberouterException {
        JsonNode value = body.path(name);
        if (value.isMissingNode() || value.isNull()) {
            throw JujuberouterException.invalidParameter(ErrorKind.MISSING_PARAMETER, name, name);
        }
        if (!value.isTextual() || value.asText().isBlank()) {
            throw invalid(name, "a text that is not empty is expected");
        }
        return value.asText();
    }

    private static String chatText(ObjectNode body) throws JujuberouterException {
        JsonNode messages = body.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw JujuberouterException.invalidParameter(ErrorKind.MISSING_PARAMETER, "messages", "messages");
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : messages) {
            if (!message.path("role").isTextual() || !message.path("content").isTextual()) {
                throw invalid("messages", "each message needs a text \"role\" and a text \"content\"");
            }
            text.append(message.get("role").asText()).append(": ");
            text.append(message.get("content").asText()).append('\n');
        }
        return text.toString();
    }

    private static int maxTokens(ObjectNode body) throws JujuberouterException {
        String name = body.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
        JsonNode value = body.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!value.isInt() || value.asInt() < 1 || value.asInt() > MAX_TOKENS_LIMIT) {
            throw invalid(name, "a whole number from 1 to " + MAX_TOKENS_LIMIT + " is expected");
        }
        return value.asInt();
    }

    private static JujuberouterException invalid(String name, String reason) {
        return JujuberouterException.invalidParameter(ErrorKind.INVALID_PARAMETER, name, name, reason);
    }

    private static Fingerprint fingerprint(String model, byte[] prompt) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(model.getBytes(StandardCharsets.UTF_8));
            digest.update((byte) 0);
            return Fingerprint.of(HexFormat.of().formatHex(digest.digest(prompt), 0, 16));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }
}
