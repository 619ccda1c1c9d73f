package org.jujuberouter.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import org.jujuberouter.id.RequestId;

/**
 * A request as it is sent to a model engine.
 *
 * @param attempt the id under which the engine knows this attempt; it starts with the holder's incarnation
 * @param path the path of the completions protocol
 * @param body the JSON body; {@code stream} is true
 * @param priority smaller numbers run first
 * @param timeLeft the time until the caller's deadline
 */
public record EngineCall(RequestId attempt, String path, ObjectNode body, int priority, Duration timeLeft) {
    /** Returns a call. */
    public static EngineCall of(RequestId attempt, String path, ObjectNode body, int priority, Duration timeLeft) {
        return new EngineCall(attempt, path, body, priority, timeLeft);
    }
}
