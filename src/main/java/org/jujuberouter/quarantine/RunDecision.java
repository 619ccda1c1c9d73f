package org.jujuberouter.quarantine;

import java.util.List;

/** Whether a request may run now. */
public sealed interface RunDecision {
    /**
     * It may run.
     *
     * @param marks its marks, to be merged by the owner of the endpoint before it grants: the notices may not have got there
     */
    record Run(List<CrashNotice> marks) implements RunDecision {}

    /**
     * Another run of the same request has not ended, or its end is not understood yet.
     *
     * @param untilNanos when to ask again at the latest; earlier when a run of it ended or evidence arrived
     */
    record Wait(long untilNanos) implements RunDecision {}

    /** It is convicted and runs nowhere. */
    record Refuse() implements RunDecision {}
}
