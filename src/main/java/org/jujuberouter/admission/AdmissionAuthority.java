package org.jujuberouter.admission;

import java.util.Optional;
import java.util.function.LongUnaryOperator;
import org.jujuberouter.id.InstanceId;

/** What ownership allows this instance to do with the endpoint; asked anew at every grant. */
public sealed interface AdmissionAuthority {
    /**
     * Another instance admits.
     *
     * @param hint whom to ask instead, if known
     */
    record None(Optional<InstanceId> hint) implements AdmissionAuthority {}

    /**
     * This instance admits.
     *
     * @param fence the fencing number for permits
     * @param doubts the number of earlier owners that may still admit
     * @param usable maps a bound to the part that this instance may use
     * @param unsent maps a bound to the part that may be permitted and not yet known to be sent
     * @param reserved maps a bound to the part that is set aside for the earlier owners
     */
    record Held(long fence, int doubts, LongUnaryOperator usable, LongUnaryOperator unsent, LongUnaryOperator reserved)
            implements AdmissionAuthority {}
}
