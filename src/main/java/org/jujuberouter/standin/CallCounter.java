package org.jujuberouter.standin;

import java.util.Map;
import java.util.TreeMap;
import org.jujuberouter.misc.Ticker;

/** Counts the calls of the store stand-in, in total and in each second. */
final class CallCounter {
    private final Ticker ticker;
    private long second;
    private long reads;
    private long writes;
    private long waiting;
    private long readsNow;
    private long writesNow;
    private long readsBefore;
    private long writesBefore;
    private long readsPeak;
    private long writesPeak;

    CallCounter(Ticker ticker) {
        this.ticker = ticker;
        this.second = ticker.millis() / 1000;
    }

    synchronized void read() {
        roll();
        reads++;
        readsPeak = Math.max(readsPeak, ++readsNow);
    }

    synchronized void write() {
        roll();
        writes++;
        writesPeak = Math.max(writesPeak, ++writesNow);
    }

    synchronized void waiting(int change) {
        waiting += change;
    }

    synchronized Map<String, Long> snapshot() {
        roll();
        Map<String, Long> all = new TreeMap<>();
        all.put("reads", reads);
        all.put("writes", writes);
        all.put("readsLastSecond", readsBefore);
        all.put("writesLastSecond", writesBefore);
        all.put("readsPeakSecond", readsPeak);
        all.put("writesPeakSecond", writesPeak);
        all.put("waitingWatches", waiting);
        return all;
    }

    private void roll() {
        long now = ticker.millis() / 1000;
        if (now == second) {
            return;
        }
        boolean next = now == second + 1;
        readsBefore = next ? readsNow : 0;
        writesBefore = next ? writesNow : 0;
        readsNow = 0;
        writesNow = 0;
        second = now;
    }
}
