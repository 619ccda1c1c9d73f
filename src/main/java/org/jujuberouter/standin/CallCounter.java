package org.jujuberouter.standin;

import java.util.Map;
import java.util.TreeMap;
import org.jujuberouter.misc.Ticker;

/** Counts the calls to the store stand-in: in total, in the last full second and in the busiest second. */
final class CallCounter {
    private final Ticker ticker;
    private long currentSecond;
    private long reads;
    private long writes;
    private long waitingWatches;
    private long readsThisSecond;
    private long writesThisSecond;
    private long readsLastSecond;
    private long writesLastSecond;
    private long readsPeakSecond;
    private long writesPeakSecond;

    CallCounter(Ticker ticker) {
        this.ticker = ticker;
        this.currentSecond = ticker.millis() / 1000;
    }

    synchronized void countRead() {
        advanceSecond();
        reads++;
        readsPeakSecond = Math.max(readsPeakSecond, ++readsThisSecond);
    }

    synchronized void countWrite() {
        advanceSecond();
        writes++;
        writesPeakSecond = Math.max(writesPeakSecond, ++writesThisSecond);
    }

    synchronized void addWaitingWatches(int delta) {
        waitingWatches += delta;
    }

    synchronized Map<String, Long> snapshot() {
        advanceSecond();
        Map<String, Long> counts = new TreeMap<>();
        counts.put("reads", reads);
        counts.put("writes", writes);
        counts.put("readsLastSecond", readsLastSecond);
        counts.put("writesLastSecond", writesLastSecond);
        counts.put("readsPeakSecond", readsPeakSecond);
        counts.put("writesPeakSecond", writesPeakSecond);
        counts.put("waitingWatches", waitingWatches);
        return counts;
    }

    /** Moves the counts of the current second to those of the last one when a new second has begun. */
    private void advanceSecond() {
        long now = ticker.millis() / 1000;
        if (now == currentSecond) {
            return;
        }
        boolean consecutive = now == currentSecond + 1;
        readsLastSecond = consecutive ? readsThisSecond : 0;
        writesLastSecond = consecutive ? writesThisSecond : 0;
        readsThisSecond = 0;
        writesThisSecond = 0;
        currentSecond = now;
    }
}
