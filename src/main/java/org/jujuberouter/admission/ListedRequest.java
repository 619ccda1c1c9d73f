package org.jujuberouter.admission;

import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.RequestId;

/**
 * One entry of the list in which an engine reports its requests, exports and reservations.
 *
 * @param id the id of the request
 * @param holder the incarnation of the process that sent it
 * @param fence the fencing number of the permit; 0 if the engine does not report it
 * @param promptClass the class of its prompt length
 * @param tokens the tokens in memory or reserved
 * @param prefilling whether the prompt is still being processed
 */
public record ListedRequest(
        RequestId id, Incarnation holder, long fence, PromptClass promptClass, long tokens, boolean prefilling) {}
