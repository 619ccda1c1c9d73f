package org.jujuberouter.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import org.jujuberouter.id.RequestId;

/**
 * A request to a model engine.
 *
 * @param attempt the id of the attempt at the engine; it starts with the holder's incarnation
 * @param path the path of the completions API
 * @param body the JSON body, in which {@code stream} is true
 * @param priority the priority; lower numbers are scheduled first
 * @param timeLeft the time until the caller's deadline
 */
public record EngineCall(RequestId attempt, String path, ObjectNode body, int priority, Duration timeLeft) {
    public static EngineCall of(RequestId attempt, String path, ObjectNode body, int priority, Duration timeLeft) {
        return new EngineCall(attempt, path, body, priority, timeLeft);
    }
}
