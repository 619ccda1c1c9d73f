package org.jujuberouter.admission;

import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.RequestId;

/**
 * One row of an engine's own list of requests, exports and reservations.
 *
 * @param id the request
 * @param holder the run of the process that sent it
 * @param fence the fencing number of the permit; 0 when the engine does not tell
 * @param promptClass the lane by prompt length
 * @param tokens tokens in memory or reserved
 * @param prefilling whether the prompt is still being read
 */
public record ListedRequest(
        RequestId id, Incarnation holder, long fence, PromptClass promptClass, long tokens, boolean prefilling) {}
