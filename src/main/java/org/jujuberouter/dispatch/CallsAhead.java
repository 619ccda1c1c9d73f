package org.jujuberouter.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.jujuberouter.id.ServiceName;

/** Counts the calls that go before the one that is being placed, as of the current pass over the queue. */
public final class CallsAhead {
    private final Map<ServiceName, Counts> byService = new HashMap<>();

    private static final class Counts {
        private int shortCalls;
        private int longCalls;
    }

    /** Starts a pass over the queue. */
    void begin() {
        byService.clear();
    }

    /** Records that a call stays in the queue. */
    void add(CallRequirements call) {
        Counts counts = byService.computeIfAbsent(call.service(), _ -> new Counts());
        if (call.isShort()) {
            counts.shortCalls++;
        } else {
            counts.longCalls++;
        }
    }

    /** Returns the number of calls of the same service and length that go before the given call. */
    int of(CallRequirements call) {
        Counts counts = byService.get(call.service());
        if (counts == null) {
            return 0;
        }
        return call.isShort() ? counts.shortCalls : counts.longCalls;
    }
}
