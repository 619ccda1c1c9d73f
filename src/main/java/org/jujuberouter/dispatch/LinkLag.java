package org.jujuberouter.dispatch;

import org.jujuberouter.misc.RecentMedian;
import org.jujuberouter.misc.Ticker;

/**
 * How long the outgoing link of an instance takes for a request, by the time that recent large requests took.
 *
 * <p>A request that an engine does not read is never written to its end and does not count.
 */
public final class LinkLag {
    /** Smaller requests fit into the send buffer of their socket, so their writes take no time at any speed. */
    public static final long MIN_MEASURED_BYTES = 65_536;

    /** Two of five writes to engines that read slowly do not count. */
    private static final int SAMPLES = 5;

    /** Two requests of 4 MB take under 5 s at 14 Mbit/s. */
    private static final long MAX_AGE_MS = 5_000;

    private final Ticker ticker;
    private final RecentMedian nanosPerByte;
    private long unsentBytes;

    private LinkLag(Ticker ticker) {
        this.ticker = ticker;
        this.nanosPerByte = RecentMedian.of(ticker, SAMPLES, MAX_AGE_MS);
    }

    /** Returns the state of a link that has not been used. */
    public static LinkLag of(Ticker ticker) {
        return new LinkLag(ticker);
    }

    /** A request that is being written. */
    public final class Write {
        private final long bytes;
        private final long startedNanos = ticker.nanos();
        private boolean ended;

        private Write(long bytes) {
            this.bytes = bytes;
        }

        /** Records the end of the write; one that failed says nothing of the link. */
        public void end(boolean whole) {
            if (ended) {
                return;
            }
            ended = true;
            unsentBytes -= bytes;
            if (whole && bytes >= MIN_MEASURED_BYTES) {
                nanosPerByte.add((ticker.nanos() - startedNanos) / (double) bytes);
            }
        }
    }

    /** Records that a request begins to be written. */
    public Write begin(long bytes) {
        unsentBytes += bytes;
        return new Write(bytes);
    }

    /** Returns the bytes of requests that are not written to their end. */
    public long unsentBytes() {
        return unsentBytes;
    }

    /** Returns the time in milliseconds that a request of the given size would take; 0 if the link is free. */
    public double delayMs(long bytes) {
        return unsentBytes == 0 ? 0 : bytes * nanosPerByte.get() / 1e6;
    }
}
