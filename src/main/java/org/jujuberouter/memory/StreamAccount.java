package org.jujuberouter.memory;

/**
 * The bytes held for one stream.
 *
 * <p>The thread that reads from the engine reserves before each read; the thread that writes to the caller releases what it
 * has written. Closing returns everything, whatever happened before, and can be repeated.
 */
public final class StreamAccount implements AutoCloseable {
    final CustomerAccount customer;
    final Runnable wake;
    private final MemoryBudget ledger;

    /** Bytes reserved and not yet released. */
    long held;

    /** The size of the reservation that waits; 0 when none does. */
    int wanted;

    /** Whether the waiting reservation was made when room was freed. */
    boolean granted;

    boolean detached;
    long heldAtPause;
    long pausedAtNanos;
    boolean closed;

    StreamAccount(MemoryBudget ledger, CustomerAccount customer, Runnable wake) {
        this.ledger = ledger;
        this.customer = customer;
        this.wake = wake;
    }

    /**
     * Asks to hold more bytes. While a reservation waits, {@link #check} is to be used instead.
     *
     * @param bytes 1 to {@link MemoryLimits#GUARANTEED_BYTES}
     */
    public MemoryDecision reserve(int bytes) {
        return ledger.reserve(this, bytes);
    }

    /** Asks what became of a reservation that waits. */
    public MemoryDecision check() {
        return ledger.check(this);
    }

    /** Returns bytes that were written to the caller, or reserved and not used. */
    public void release(long bytes) {
        ledger.release(this, bytes);
    }

    /** Returns the bytes held now. */
    public long held() {
        return ledger.held(this);
    }

    @Override
    public void close() {
        ledger.close(this);
    }

    /** Returns how many of the given bytes would lie above the floor. */
    long sharedShareOf(long bytes) {
        return above(held + bytes) - above(held);
    }

    /** Tells whether a detached stream has drained far enough that resuming pays. */
    boolean hasDrained() {
        return !detached || held == 0 || held < heldAtPause / 2;
    }

    private static long above(long bytes) {
        return Math.max(0, bytes - MemoryLimits.GUARANTEED_BYTES);
    }
}
