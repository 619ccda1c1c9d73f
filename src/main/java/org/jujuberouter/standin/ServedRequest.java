package org.jujuberouter.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Json;
import org.jujuberouter.routing.PromptBlocks;
import org.jujuberouter.standin.model.EngineRequest;
import org.jujuberouter.standin.model.LoadedModel;

/**
 * A completion request to the engine stand-in, with what is needed to generate its answer.
 *
 * <p>Token i of the answer is the word {@code t<i>}, and the last chunk ends with the marker found in the prompt, so
 * that a caller can check that the answer is complete and belongs to the request, also after a continuation on another
 * engine.
 *
 * @param prompt the prompt
 * @param model the requested model
 * @param marker the marker in the prompt, or an empty string
 * @param base index of the first token that this engine generates; above zero in a continuation
 * @param total number of tokens of the whole answer, including those before {@code base}
 * @param chat whether chunks have the format of chat completions
 */
record ServedRequest(String prompt, String model, String marker, int base, int total, boolean chat) {
    /** A prompt that contains this text crashes the engine that processes it. */
    static final String POISON = "crash-the-engine";

    private static final Pattern MARKER = Pattern.compile("marker-[A-Za-z0-9._-]+");
    private static final int BYTES_PER_TOKEN = 4;
    private static final int DEFAULT_MAX_TOKENS = 256;

    static ServedRequest parse(JsonNode body, boolean chat) {
        String prompt =
                chat ? body.path("messages").toString() : body.path("prompt").asText();
        Matcher matcher = MARKER.matcher(prompt);
        int base = (int) body.path("continue_text")
                .asText("")
                .chars()
                .filter(c -> c == ' ')
                .count();
        return new ServedRequest(
                prompt,
                body.path("model").asText(),
                matcher.find() ? matcher.group() : "",
                base,
                base + body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS),
                chat);
    }

    EngineRequest toEngineRequest(RequestId id, int priority) {
        byte[] bytes = prompt.getBytes(StandardCharsets.UTF_8);
        int tokens = Math.max(1, (bytes.length + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN) + base;
        EngineRequest request = new EngineRequest(
                id,
                "",
                LoadedModel.of(model, "", ""),
                priority,
                tokens,
                PromptBlocks.ofText(prompt),
                Math.max(1, total - base),
                0,
                base,
                false);
        return prompt.contains(POISON) ? request.asPoisonous() : request;
    }

    /** Returns the number of characters of the first {@code tokens} tokens that this engine generates. */
    long textLength(int tokens) {
        return lengthOfWords(base + tokens) - lengthOfWords(base);
    }

    /** Returns the number of complete tokens before a character offset in the text that this engine generates. */
    int tokensBefore(long offset) {
        int tokens = 0;
        while (base + tokens < total && textLength(tokens + 1) <= offset) {
            tokens++;
        }
        return tokens;
    }

    /** Returns the total length of the first n words; the loop runs once for each number of digits. */
    private static long lengthOfWords(int n) {
        long length = 0;
        int digits = 1;
        for (long from = 0, to = 10; from < n; from = to, to *= 10) {
            length += (Math.min(to, n) - from) * (digits + 2);
            digits++;
        }
        return length;
    }

    private static String word(int i) {
        return "t" + i + " ";
    }

    /** Returns a chunk as JSON; its offset counts characters from the start of the text that this engine generates. */
    String chunk(RequestId id, int first, int count, boolean last) {
        StringBuilder text = new StringBuilder();
        for (int i = base + first; i < base + first + count; i++) {
            text.append(word(i));
        }
        if (last) {
            text.append(marker);
        }
        ObjectNode node = Json.MAPPER.createObjectNode();
        node.put("id", id.value()).put("offset", textLength(first)).put("tokens", count);
        ObjectNode choice = node.putArray("choices").addObject().put("index", 0);
        if (chat) {
            choice.putObject("delta").put("content", text.toString());
        } else {
            choice.put("text", text.toString());
        }
        choice.put("finish_reason", last ? "stop" : null);
        return node.toString();
    }
}
