package org.jujuberouter.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.Ticker;

/**
 * A queue of calls that wait for an endpoint.
 *
 * <p>Calls that can still be on time are tried first, in order of their due time; calls that are late anyway follow.
 * With first-come, first-served order a short overload would make every call late, because each free slot would go to
 * the call that has already waited too long.
 *
 * <p>While calls of a service wait because no endpoint has room, calls of customers that have had more than their fair
 * share go behind the others, and calls of a higher priority go first among calls that can wait.
 *
 * @param <C> type of the calls
 */
public final class CallQueue<C> {
    /**
     * Number of short or of long calls of a service that may fail to be placed before the others of that length are
     * skipped; counted separately for calls of customers above their share.
     */
    private static final int MAX_FAILURES_PER_CLASS = 12;

    /** Class of the calls of customers that are kept below their shares, before all priorities. */
    private static final int KEPT_BELOW_SHARE_CLASS = -1;

    private final Ticker ticker;
    private final FairShare shares;
    private final CallCounts ahead = new CallCounts();
    private final Map<C, Entry<C>> waiting = new LinkedHashMap<>();

    private static final class Entry<C> {
        private final C call;
        private final CallRequirements requirements;
        private final long arrivedNanos;
        private final long dueNanos;
        private boolean hasFailed;
        private boolean deferred;
        private boolean late;
        private int priorityClass;

        private Entry(C call, CallRequirements requirements, long arrivedNanos) {
            this.call = call;
            this.requirements = requirements;
            this.arrivedNanos = arrivedNanos;
            this.dueNanos = arrivedNanos + TimeUnit.MILLISECONDS.toNanos(requirements.objectiveMs());
        }

        private void rank(FairShare shares, long now) {
            double waitedMs = (now - arrivedNanos) / 1e6;
            boolean keptBelowShare = shares.standing(requirements) == CustomerStanding.KEPT_BELOW_SHARE;
            late = !keptBelowShare && !requirements.canBeOnTime(waitedMs);
            priorityClass = keptBelowShare ? KEPT_BELOW_SHARE_CLASS : shares.priorityClass(requirements, waitedMs);
        }

        private boolean isLate() {
            return late;
        }

        private int priorityClass() {
            return priorityClass;
        }

        private long dueNanos() {
            return dueNanos;
        }
    }

    private CallQueue(Ticker ticker, FairShare shares) {
        this.ticker = ticker;
        this.shares = shares;
    }

    /** Returns an empty queue without any record of the work that customers have had. */
    public static <C> CallQueue<C> empty(Ticker ticker) {
        return sharedBy(FairShare.of(ticker), ticker);
    }

    /** Returns an empty queue that orders calls by the given shares. */
    public static <C> CallQueue<C> sharedBy(FairShare shares, Ticker ticker) {
        return new CallQueue<>(ticker, shares);
    }

    /** Adds a call that arrived at the given time. */
    public void add(C call, CallRequirements requirements, long arrivedNanos) {
        waiting.put(call, new Entry<>(call, requirements, arrivedNanos));
    }

    /** Removes a call if it is queued. */
    public void remove(C call) {
        waiting.remove(call);
    }

    /** Returns the number of queued calls of a service. */
    public int size(ServiceName service) {
        int count = 0;
        for (Entry<C> e : waiting.values()) {
            count += e.requirements.service().equals(service) ? 1 : 0;
        }
        return count;
    }

    /** Returns the calls that go before the one that is being placed, as of the current pass over the queue. */
    public CallCounts ahead() {
        return ahead;
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
        List<Entry<C>> order = inOrder();
        ahead.clear();
        int onTime = 0;
        while (onTime < order.size() && !order.get(onTime).isLate()) {
            onTime++;
        }
        CallCounts failures = new CallCounts();
        CallCounts failuresBehind = new CallCounts();
        placeByShare(order.subList(0, onTime), failures, failuresBehind, tryPlace);
        placeByShare(order.subList(onTime, order.size()), failures, failuresBehind, tryPlace);
    }

    /** Places the calls of customers above their share behind the others, in the given order otherwise. */
    private void placeByShare(
            List<Entry<C>> order, CallCounts failures, CallCounts failuresBehind, Predicate<C> tryPlace) {
        List<Entry<C>> behind = new ArrayList<>();
        for (Entry<C> e : order) {
            // Tested in turn, because a customer can exceed its share through a call placed in the same round.
            if (shares.isAboveShare(e.requirements)) {
                behind.add(e);
            } else {
                place(e, failures, tryPlace);
            }
        }
        for (Entry<C> e : behind) {
            if (!e.deferred && shares.standing(e.requirements) == CustomerStanding.DEFERRED) {
                e.deferred = true;
                shares.countDeferredCall();
            }
            place(e, failuresBehind, tryPlace);
        }
    }

    private List<Entry<C>> inOrder() {
        List<Entry<C>> order = new ArrayList<>(waiting.values());
        shares.beginRound();
        for (Entry<C> e : order) {
            if (e.hasFailed) {
                shares.recordScarcity(e.requirements.service());
            }
        }
        if (shares.isAnyScarce()) {
            for (Entry<C> e : order) {
                shares.recordWaiting(e.requirements.service(), e.requirements.claim());
            }
            shares.computeShares();
        }
        long now = ticker.nanos();
        for (Entry<C> e : order) {
            e.rank(shares, now);
        }
        order.sort(Comparator.comparing((Entry<C> e) -> e.isLate())
                .thenComparingInt(Entry::priorityClass)
                .thenComparingLong(Entry::dueNanos));
        return order;
    }

    private void place(Entry<C> e, CallCounts failures, Predicate<C> tryPlace) {
        if (!waiting.containsKey(e.call)) {
            return;
        }
        if (failures.of(e.requirements) >= MAX_FAILURES_PER_CLASS) {
            ahead.add(e.requirements);
            return;
        }
        // Removed first, because a call that is placed may fail immediately and be queued again.
        waiting.remove(e.call);
        if (!tryPlace.test(e.call)) {
            e.hasFailed = true;
            waiting.put(e.call, e);
            ahead.add(e.requirements);
            failures.add(e.requirements);
        }
    }
}
