package org.jujuberouter.quarantine;

import java.util.List;

/** Whether a request may run now. */
public sealed interface RunDecision {
    /**
     * The request may run.
     *
     * @param marks its marks, which the owner of the endpoint merges before it grants, since it may not have the
     *     notices
     */
    record Run(List<CrashNotice> marks) implements RunDecision {}

    /**
     * Another run of the same request has not ended, or it lost its endpoint and the crash notice has not arrived.
     *
     * @param untilNanos the latest time to request permission again; earlier if a run of it ended or evidence arrived
     */
    record Wait(long untilNanos) implements RunDecision {}

    /** The request is quarantined. */
    record Refuse() implements RunDecision {}
}
