package org.jujuberouter.standin.model;

import java.util.List;
import org.jujuberouter.id.RequestId;

/**
 * A range of the tokens of an answer.
 *
 * @param id the request
 * @param offset number of answer tokens before this part
 * @param tokens the text of each token
 * @param state the state of the request after this part; no tokens follow if it is {@link RequestState#COMPLETED}
 */
public record StreamPart(RequestId id, int offset, List<String> tokens, RequestState state) {
    /** Returns the offset at which the next part starts. */
    public int end() {
        return offset + tokens.size();
    }
}
