package org.jujuberouter.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.jujuberouter.id.ServiceName;

/** Numbers of short and of long calls by service. */
public final class CallCounts {
    private final Map<ServiceName, Counts> byService = new HashMap<>();

    private static final class Counts {
        private int shortCalls;
        private int longCalls;
    }

    void clear() {
        byService.clear();
    }

    void add(CallRequirements call) {
        Counts counts = byService.computeIfAbsent(call.service(), _ -> new Counts());
        if (call.isShort()) {
            counts.shortCalls++;
        } else {
            counts.longCalls++;
        }
    }

    /** Returns the number of calls of the same service and length as the given one. */
    int of(CallRequirements call) {
        Counts counts = byService.get(call.service());
        if (counts == null) {
            return 0;
        }
        return call.isShort() ? counts.shortCalls : counts.longCalls;
    }
}
