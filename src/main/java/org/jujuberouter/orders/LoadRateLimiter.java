package org.jujuberouter.orders;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.jujuberouter.store.LeaseId;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;
import org.jujuberouter.store.WriteOutcome;

/**
 * Limits the number of loads that all instances together start within a minute.
 *
 * <p>The store has one key, a slot, for each load permitted per minute. Creating the key by compare-and-swap permits
 * one load; the lease of the key frees the slot. Only the clock of the store matters, so the clocks of the instances
 * need not agree. If the reply to the creation is lost, the slot stays unused for one lease.
 */
final class LoadRateLimiter {
    static final String PREFIX = "orders/slot/";

    /** Time after acquiring a slot within which the order may be sent. */
    static final Duration SEND_WINDOW = Duration.ofSeconds(1);

    /** Maximum time in transit of an order: the timeout of the call. */
    static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

    /**
     * Lease of a slot. With a lease of 60 s, an order that arrived late and one that arrived at once exceeded the limit
     * by one load (seed 189 of {@code OrderSchedulerTest}).
     */
    private static final Duration SLOT_LEASE =
            Duration.ofSeconds(60).plus(SEND_WINDOW).plus(CALL_TIMEOUT);

    private final PlatformStore store;

    LoadRateLimiter(PlatformStore store) {
        this.store = store;
    }

    /** Acquires a slot and returns whether one was free. */
    boolean tryAcquire(int loadsPerMinute) throws PlatformException {
        Set<String> occupied = new HashSet<>();
        for (StoreEntry e : store.list(PREFIX)) {
            occupied.add(e.key());
        }
        for (int i = 0; i < loadsPerMinute; i++) {
            String key = PREFIX + i;
            if (!occupied.contains(key)) {
                LeaseId lease = store.grantLease(SLOT_LEASE);
                byte[] value = "load".getBytes(StandardCharsets.UTF_8);
                boolean acquired =
                        store.compareAndSet(key, PlatformStore.ABSENT, value, lease) instanceof WriteOutcome.Done;
                return acquired;
            }
        }
        return false;
    }
}
