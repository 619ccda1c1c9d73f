package org.jujuberouter.duty;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.misc.Ticker;

/**
 * The windows whose counts are committed to the store, and which of them are still to be sent.
 *
 * <p>The key of the last window stays in the store until a later one is committed, so a new leader knows where to
 * continue.
 */
final class CommittedWindows {
    /** Largest number of windows that wait to be accepted; with windows of 5 s, those of about 5 minutes. */
    private static final int MAX_PENDING = 64;

    private static final long FIRST_RETRY_MS = 500;
    private static final long MAX_RETRY_MS = 4_000;

    /** Delay after a call above the rate limit; the platform counts calls by the second. */
    private static final long LIMITED_RETRY_MS = 1_000;

    private final Ticker ticker;
    private final TreeMap<Long, Map<CustomerId, Long>> windows = new TreeMap<>();
    private final TreeSet<Long> settled = new TreeSet<>();
    private long last;
    private long givenUp;
    private long retryMs = FIRST_RETRY_MS;
    private boolean delayed;
    private long delayedAt;
    private long delayMs;

    private CommittedWindows(Ticker ticker) {
        this.ticker = ticker;
    }

    static CommittedWindows empty(Ticker ticker) {
        return new CommittedWindows(ticker);
    }

    /** Records that the counts of a window are in the store. */
    void committed(long window, Map<CustomerId, Long> counts) {
        windows.put(window, counts);
        last = Math.max(last, window);
    }

    /** Makes room for one more window; returns the oldest ones, which are given up for it. Only the leader does so. */
    List<Long> makeRoom() {
        List<Long> dropped = new ArrayList<>();
        while (pending() >= MAX_PENDING) {
            long oldest = next().orElseThrow();
            settled.add(oldest);
            dropped.add(oldest);
            givenUp++;
        }
        return dropped;
    }

    void removed(long window) {
        windows.remove(window);
        settled.remove(window);
    }

    /** Forgets which windows were accepted, so that a new leader sends all that it finds. */
    void startTerm() {
        settled.clear();
        delayed = false;
        retryMs = FIRST_RETRY_MS;
    }

    /** Returns the last window that was committed, or 0 if none is known. */
    long last() {
        return last;
    }

    int pending() {
        return windows.size() - settled.size();
    }

    long givenUp() {
        return givenUp;
    }

    void countGivenUp(long number) {
        givenUp += number;
    }

    /** Returns the oldest window that is not accepted. */
    Optional<Long> next() {
        return windows.keySet().stream().filter(w -> !settled.contains(w)).findFirst();
    }

    /** Returns whether a call may be sent now, after the delay that the last result requires. */
    boolean isSendDue() {
        return !delayed || ticker.nanos() - delayedAt >= TimeUnit.MILLISECONDS.toNanos(delayMs);
    }

    Map<CustomerId, Long> counts(long window) {
        return windows.get(window);
    }

    /** Returns the windows before the given one whose keys are not needed any more. */
    List<Long> obsolete(long window) {
        return settled.stream()
                .filter(w -> w < window && windows.containsKey(w))
                .toList();
    }

    void answered(long window, DutyResult result) {
        switch (result) {
            case ACCEPTED -> {
                if (windows.containsKey(window)) {
                    settled.add(window);
                }
                delayed = false;
                retryMs = FIRST_RETRY_MS;
            }
            case LIMITED -> delay(LIMITED_RETRY_MS);
            case FENCED, NOT_SENT -> delayed = false;
            default -> {
                delay(retryMs);
                retryMs = Math.min(MAX_RETRY_MS, 2 * retryMs);
            }
        }
    }

    private void delay(long ms) {
        delayed = true;
        delayedAt = ticker.nanos();
        delayMs = ms;
    }
}
