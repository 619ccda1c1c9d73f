package org.jujuberouter.entry;

import java.util.Optional;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestId;

/**
 * The id of one run of a request, under which instances speak of it; it names the holder.
 *
 * @param holder the run of the process that holds the caller
 * @param sequence the request, counted by the holder
 * @param attempt the attempt, counted from 1
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

    /** Returns the parts of an id of this system, or empty for work that others placed. */
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
