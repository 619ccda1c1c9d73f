package org.jujuberouter.entry;

import java.util.Optional;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestId;

/**
 * Identifies one attempt to run a request in messages between instances. It includes the holder.
 *
 * @param holder the incarnation of the instance that serves the caller
 * @param sequence the number of the request, assigned by the holder
 * @param attempt the number of the attempt, starting at 1; 0 stands for the request as a whole
 */
record RunId(Incarnation holder, long sequence, int attempt) {
    static final String SEPARATOR = "~";
    private static final int PARTS = 4;

    RequestId toRequestId() {
        return RequestId.of(String.join(
                SEPARATOR,
                holder.instance().value(),
                Long.toString(holder.number()),
                Long.toString(sequence),
                Integer.toString(attempt)));
    }

    /** Parses the run id that {@code id} starts with; empty if an instance of this system did not assign it. */
    static Optional<RunId> parse(RequestId id) {
        String[] parts = id.value().split(SEPARATOR);
        if (parts.length < PARTS) {
            return Optional.empty();
        }
        try {
            return Optional.of(new RunId(
                    Incarnation.of(InstanceId.of(parts[0]), Long.parseLong(parts[1])),
                    Long.parseLong(parts[2]),
                    Integer.parseInt(parts[3])));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
