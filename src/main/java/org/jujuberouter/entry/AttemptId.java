package org.jujuberouter.entry;

import java.util.Optional;
import org.jujuberouter.admission.PromptClass;
import org.jujuberouter.id.RequestId;

/**
 * The id of an attempt at an endpoint: the run, the fencing number of the permit and the prompt class.
 *
 * <p>From this id alone an owner can assign each request in the engine's list to its holder and permit, even if it has
 * just taken over the endpoint. The id contains only characters that are safe in a URL.
 *
 * @param run the run
 * @param fence the fencing number of the permit
 * @param promptClass the class of its prompt length
 */
record AttemptId(RunId run, long fence, PromptClass promptClass) {
    private static final int PARTS = 6;

    RequestId toRequestId() {
        return RequestId.of(
                String.join(RunId.SEPARATOR, run.toRequestId().value(), Long.toString(fence), promptClass.name()));
    }

    /** Parses an attempt id; empty if the request was not submitted by an instance of this system. */
    static Optional<AttemptId> parse(RequestId id) {
        String[] parts = id.value().split(RunId.SEPARATOR);
        Optional<RunId> run = RunId.parse(id);
        if (parts.length != PARTS || run.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new AttemptId(run.get(), Long.parseLong(parts[PARTS - 2]), PromptClass.valueOf(parts[PARTS - 1])));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
