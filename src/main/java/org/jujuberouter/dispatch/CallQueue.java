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
 * The calls that wait for a place, and the order in which they get one.
 *
 * <p>Calls that can still be on time go first, the one that is due earliest before the others; calls that are late anyway
 * take what is left. In order of arrival a short overload would make every call late, because each place would go to the
 * call that has already waited too long.
 *
 * @param <C> the calls
 */
public final class CallQueue<C> {
    /** Calls of one length that may fail to find a place before the rest of that length is left for the next look. */
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

    /** Returns a line in which nobody waits. */
    public static <C> CallQueue<C> empty(Ticker ticker) {
        return new CallQueue<>(ticker);
    }

    /** Adds a call that arrived at the given time. */
    public void add(C call, CallRequirements requirements, long arrivedNanos) {
        waiting.put(call, new Entry<>(call, requirements, arrivedNanos));
    }

    /** Takes a call out, if it waits. */
    public void remove(C call) {
        waiting.remove(call);
    }

    /** Returns the number of calls that wait. */
    public int size() {
        return waiting.size();
    }

    /**
     * Offers the calls a place in their order.
     *
     * @param place tries to place a call; returns whether it need not wait any longer
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
            // Taken out first: a call that is placed may fail at once and come back into the line.
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
