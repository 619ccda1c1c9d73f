package org.jujuberouter.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Json;

/** Writes the response in the form the caller asked for: server-sent events as they arrive, or a single JSON body. */
final class ResponseWriter {
    private final CallerExchange exchange;
    private final CompletionCall call;
    private final RequestId id;
    private final StringBuilder content = new StringBuilder();
    private long tokens;
    private String lastFinishReason = "stop";

    private ResponseWriter(CallerExchange exchange, CompletionCall call, RequestId id) {
        this.exchange = exchange;
        this.call = call;
        this.id = id;
    }

    static ResponseWriter of(CallerExchange exchange, CompletionCall call, RequestId id) {
        return new ResponseWriter(exchange, call, id);
    }

    void write(String text, int count, String finishReason) throws IOException {
        tokens += count;
        if (finishReason != null) {
            lastFinishReason = finishReason;
        }
        if (!call.stream()) {
            content.append(text);
            return;
        }
        if (exchange.isUnanswered()) {
            exchange.startEvents();
        }
        exchange.writeEvent(event(text, finishReason).toString());
    }

    void finish() throws IOException {
        if (!call.stream()) {
            exchange.sendJson(200, completionBody());
            return;
        }
        if (exchange.isUnanswered()) {
            exchange.startEvents();
        }
        exchange.finishEvents();
    }

    private ObjectNode event(String text, String finishReason) {
        ObjectNode node = envelope(call.chat() ? "chat.completion.chunk" : "text_completion");
        ObjectNode choice = node.putArray("choices").addObject().put("index", 0);
        if (call.chat()) {
            choice.putObject("delta").put("role", "assistant").put("content", text);
        } else {
            choice.put("text", text);
        }
        choice.put("finish_reason", finishReason);
        return node;
    }

    private ObjectNode completionBody() {
        ObjectNode node = envelope(call.chat() ? "chat.completion" : "text_completion");
        ObjectNode choice = node.putArray("choices").addObject().put("index", 0);
        if (call.chat()) {
            choice.putObject("message").put("role", "assistant").put("content", content.toString());
        } else {
            choice.put("text", content.toString());
        }
        choice.put("finish_reason", lastFinishReason);
        node.putObject("usage")
                .put("prompt_tokens", call.promptTokens())
                .put("completion_tokens", tokens)
                .put("total_tokens", call.promptTokens() + tokens);
        return node;
    }

    private ObjectNode envelope(String object) {
        return Json.MAPPER
                .createObjectNode()
                .put("id", id.value())
                .put("object", object)
                .put("created", System.currentTimeMillis() / 1000)
                .put("model", call.model().value());
    }
}
