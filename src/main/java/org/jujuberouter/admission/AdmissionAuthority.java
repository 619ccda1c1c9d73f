package org.jujuberouter.admission;

import java.util.Optional;
import java.util.function.LongUnaryOperator;
import org.jujuberouter.id.InstanceId;

/** Whether, and with which part of the bound, this instance may admit for an endpoint; evaluated at every grant. */
public sealed interface AdmissionAuthority {
    /**
     * This instance may not admit.
     *
     * @param hint the instance that probably owns the endpoint, if known
     */
    record None(Optional<InstanceId> hint) implements AdmissionAuthority {}

    /**
     * This instance may admit.
     *
     * @param fence the fencing number for permits
     * @param uncertainPredecessors the number of earlier owners that may still be admitting
     * @param usable maps a bound to the part that this instance may use
     * @param unsent maps a bound to the part that may be granted in permits not yet known to be in use
     * @param reserved maps a bound to the part that is reserved for the earlier owners
     */
    record Held(
            long fence,
            int uncertainPredecessors,
            LongUnaryOperator usable,
            LongUnaryOperator unsent,
            LongUnaryOperator reserved)
            implements AdmissionAuthority {}
}
