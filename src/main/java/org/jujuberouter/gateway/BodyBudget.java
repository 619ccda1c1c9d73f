package org.jujuberouter.gateway;

/**
 * Bounds the bytes of all request bodies that an instance holds.
 *
 * <p>A part of the budget is reserved for small bodies, so that they are accepted while large ones fill the rest. Small
 * bodies beyond the reserved part compete with the large ones for the rest.
 *
 * <p>Thread-safe, since the last reference to a body may be released on any thread.
 */
final class BodyBudget {
    /** Largest size of a small body: a prompt of some 16,000 tokens. */
    static final int SMALL_BODY_BYTES = 64 * 1024;

    /**
     * Share of the heap. Bodies live long enough to be promoted to the old generation, which is two thirds of the heap
     * with the serial collector; half of the heap leaves a quarter of the old generation to all other state.
     */
    private static final double HEAP_SHARE = 0.5;

    /** An eighth of 80 MB holds 160 of the largest small bodies or 2,500 of 4 KB. */
    private static final double SMALL_SHARE = 0.125;

    private final long smallLimit;
    private final long sharedLimit;
    private long smallHeld;
    private long largeHeld;

    private BodyBudget(long smallLimit, long sharedLimit) {
        this.smallLimit = smallLimit;
        this.sharedLimit = sharedLimit;
    }

    /** Returns a budget that is a share of the largest heap that this process may have. */
    static BodyBudget ofHeap() {
        return of((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));
    }

    static BodyBudget of(long bytes) {
        long small = (long) (bytes * SMALL_SHARE);
        return new BodyBudget(small, bytes - small);
    }

    /** Returns the size of the largest body that can ever be held. */
    long maxBodyBytes() {
        return sharedLimit;
    }

    long limitBytes() {
        return smallLimit + sharedLimit;
    }

    synchronized long heldBytes() {
        return smallHeld + largeHeld;
    }

    /** Opens an account that holds nothing. */
    Account open() {
        return new Account();
    }

    private synchronized boolean resize(Account account, long bytes) {
        boolean small = bytes <= SMALL_BODY_BYTES;
        long newSmall = smallHeld - (account.small ? account.bytes : 0) + (small ? bytes : 0);
        long newLarge = largeHeld - (account.small ? 0 : account.bytes) + (small ? 0 : bytes);
        if (bytes > account.bytes && !fits(newSmall, newLarge, small)) {
            return false;
        }
        smallHeld = newSmall;
        largeHeld = newLarge;
        account.bytes = bytes;
        account.small = small;
        return true;
    }

    private boolean fits(long newSmall, long newLarge, boolean small) {
        return small && newSmall <= smallLimit || newLarge + Math.max(0, newSmall - smallLimit) <= sharedLimit;
    }

    /** The bytes held by one body, or by the requests that wait on one connection. */
    final class Account {
        private long bytes;
        private boolean small = true;

        private Account() {}

        long bytes() {
            synchronized (BodyBudget.this) {
                return bytes;
            }
        }

        /** Changes the bytes held; returns false and changes nothing if a larger number does not fit. */
        boolean resize(long newBytes) {
            return BodyBudget.this.resize(this, newBytes);
        }

        /** Returns all bytes to the budget. */
        void close() {
            resize(0);
        }
    }
}
