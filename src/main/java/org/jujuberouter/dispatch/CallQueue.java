package org.jujuberouter.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jujuberouter.misc.Ticker;

/**
 * A queue of calls that wait for an endpoint.
 *
 * <p>Calls that can still be on time are tried first, in order of their due time; calls that are late anyway follow.
 * With first-come, first-served order a short overload would make every call late, because each free slot would go to
 * the call that has already waited too long.
 *
 * @param <C> type of the calls
 */
public final class CallQueue<C> {
    /** Number of short or of long calls that may fail to be placed before the others of that length are skipped. */
    private static final int MAX_FAILURES_PER_CLASS = 12;

    private final Ticker ticker;
    private final Map<C, Entry<C>> waiting = new LinkedHashMap<>();

    private record Entry<C>(C call, CallRequirements requirements, long arrivedNanos) {
        private long dueNanos() {
            return arrivedNanos + TimeUnit.MILLISECONDS.toNanos(requirements.objectiveMs());
        }

        private boolean isLate(long now) {
            return !requirements.canBeOnTime((now - arrivedNanos) / 1e6);
        }
    }

    private CallQueue(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns an empty queue. */
    public static <C> CallQueue<C> empty(Ticker ticker) {
        return new CallQueue<>(ticker);
    }

    /** Adds a call that arrived at the given time. */
    public void add(C call, CallRequirements requirements, long arrivedNanos) {
        waiting.put(call, new Entry<>(call, requirements, arrivedNanos));
    }

    /** Removes a call if it is queued. */
    public void remove(C call) {
        waiting.remove(call);
    }

    /** Returns the number of queued calls. */
    public int size() {
        return waiting.size();
    }

    /**
     * Tries to place the queued calls in their order.
     *
     * @param tryPlace tries to place a call; returns whether the call can leave the queue
     */
    public void dispatch(Predicate<C> tryPlace) {
        long now = ticker.nanos();
        List<Entry<C>> order = new ArrayList<>(waiting.values());
        order.sort(Comparator.comparing((Entry<C> e) -> e.isLate(now)).thenComparing(Entry::dueNanos));
        int shortFailures = 0;
        int longFailures = 0;
        for (Entry<C> e : order) {
            if (!waiting.containsKey(e.call)
                    || (e.requirements.isShort() ? shortFailures : longFailures) >= MAX_FAILURES_PER_CLASS) {
                continue;
            }
            // Removed first, because a call that is placed may fail immediately and be queued again.
            waiting.remove(e.call);
            if (!tryPlace.test(e.call)) {
                waiting.put(e.call, e);
                if (e.requirements.isShort()) {
                    shortFailures++;
                } else {
                    longFailures++;
                }
            }
        }
    }
}
