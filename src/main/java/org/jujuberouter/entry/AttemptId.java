package org.jujuberouter.entry;

import java.util.Optional;
import org.jujuberouter.admission.PromptClass;
import org.jujuberouter.id.RequestId;

/**
 * The id under which an endpoint knows one attempt: the run, the fencing number of the permit and the lane.
 *
 * <p>With these the endpoint's owner can tell from the engine's list alone whose work it is, also after it took over. All
 * characters are safe in a URL.
 *
 * @param run the run
 * @param fence the fencing number of the permit
 * @param lane the lane
 */
record AttemptId(RunId run, long fence, PromptClass lane) {
    private static final int PARTS = 6;

    RequestId toRequestId() {
        return RequestId.of(String.join(RunId.SEPARATOR, run.toRequestId().value(), Long.toString(fence), lane.name()));
    }

    /** Returns the parts of an id of this system, or empty for work that others placed. */
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
