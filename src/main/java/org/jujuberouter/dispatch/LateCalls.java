package org.jujuberouter.dispatch;

/** Decides which new calls an instance rejects since its own lag alone makes them late. */
public final class LateCalls {
    /** A call waits for the event loop when it is read, when its engine is connected and when the first event arrives. */
    private static final int LOOP_WAITS = 3;

    /** Lag that the shortest latency objectives, 300 ms, do not notice. */
    private static final double NEGLIGIBLE_LAG_MS = 20;

    /** Callers that have to wait longer than a second may give up. */
    private static final double MAX_RETRY_AFTER_MS = 1_000;

    private final LoopLag loopLag;
    private final LinkLag linkLag;

    private LateCalls(LoopLag loopLag, LinkLag linkLag) {
        this.loopLag = loopLag;
        this.linkLag = linkLag;
    }

    /** Returns the decisions of an instance with the given lag. */
    public static LateCalls of(LoopLag loopLag, LinkLag linkLag) {
        return new LateCalls(loopLag, linkLag);
    }

    /** Returns by how much this instance delays the first event of a new call with a body of the given size. */
    public double delayMs(long bytes) {
        return LOOP_WAITS * loopLag.ms() + linkLag.delayMs(bytes);
    }

    /**
     * Returns whether a new call is late whatever its endpoint does.
     *
     * @param objectiveMs latency objective in milliseconds; 0 if there is none
     */
    public boolean isLate(long bytes, long objectiveMs) {
        return objectiveMs > 0 && delayMs(bytes) > objectiveMs;
    }

    /**
     * Returns after which time a rejected caller may try another instance. The times differ, so that callers rejected
     * together do not reach the next instance together.
     *
     * @param random a random number from 0 to 1
     */
    public long retryAfterMs(long bytes, double random) {
        return Math.round(random * Math.min(delayMs(bytes), MAX_RETRY_AFTER_MS));
    }

    /** Returns whether new calls start after all other events that the event loop has found ready. */
    public boolean startsNewCallsLast() {
        return loopLag.ms() > NEGLIGIBLE_LAG_MS;
    }
}
