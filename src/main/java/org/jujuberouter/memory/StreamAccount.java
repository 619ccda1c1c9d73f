package org.jujuberouter.memory;

/**
 * The memory held for one stream.
 *
 * <p>The thread that reads from the engine reserves bytes before each read; the thread that writes to the caller
 * releases the bytes that it has written. Closing releases everything that is still held and is idempotent.
 */
public final class StreamAccount implements AutoCloseable {
    final CustomerAccount customer;
    final Runnable wake;
    private final MemoryBudget budget;

    /** Bytes reserved and not yet released. */
    long held;

    /** Size of the waiting reservation in bytes; 0 if none waits. */
    int requested;

    /** Whether the waiting reservation was granted and {@link #check} has not returned it yet. */
    boolean granted;

    boolean detached;
    long heldAtPause;
    long pausedAtNanos;
    boolean closed;

    StreamAccount(MemoryBudget budget, CustomerAccount customer, Runnable wake) {
        this.budget = budget;
        this.customer = customer;
        this.wake = wake;
    }

    /**
     * Reserves bytes. Must not be called while a reservation waits; use {@link #check} instead.
     *
     * @param bytes 1 to {@link MemoryLimits#GUARANTEED_BYTES}
     */
    public MemoryDecision reserve(int bytes) {
        return budget.reserve(this, bytes);
    }

    /** Returns the state of the waiting reservation. */
    public MemoryDecision check() {
        return budget.check(this);
    }

    /** Releases bytes that were written to the caller, or reserved and not used. */
    public void release(long bytes) {
        budget.release(this, bytes);
    }

    /** Returns the bytes reserved and not yet released. */
    public long held() {
        return budget.held(this);
    }

    @Override
    public void close() {
        budget.close(this);
    }

    /** Returns the change of the shared bytes if the bytes held change by the given number, which may be negative. */
    long sharedChange(long bytes) {
        return aboveGuaranteed(held + bytes) - aboveGuaranteed(held);
    }

    /** Returns whether the stream is attached or has drained far enough to resume. */
    boolean hasDrained() {
        return !detached || held == 0 || held < heldAtPause / 2;
    }

    private static long aboveGuaranteed(long bytes) {
        return Math.max(0, bytes - MemoryLimits.GUARANTEED_BYTES);
    }
}
