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
 * Bounds the loads started within a minute over all instances.
 *
 * <p>There is one key for each load a minute; taking it by compare-and-swap allows one load, and the store's lease frees it.
 * Only the store's clock counts, so the clocks of the instances need not agree. A take whose reply is lost costs a slot for
 * one lease.
 */
final class LoadRateLimiter {
    static final String PREFIX = "orders/slot/";

    /** How long after taking a slot the order may be sent. */
    static final Duration USE_WITHIN = Duration.ofSeconds(1);

    /** How long an order may be on its way: the timeout of the call. */
    static final Duration ON_THE_WAY = Duration.ofSeconds(2);

    /**
     * How long a slot is held. With a minute alone, an order that arrives late and one that arrives at once put a load too
     * many into a minute, as seed 189 of {@code OrderSchedulerTest} showed.
     */
    private static final Duration HELD = Duration.ofSeconds(60).plus(USE_WITHIN).plus(ON_THE_WAY);

    private final PlatformStore store;

    LoadRateLimiter(PlatformStore store) {
        this.store = store;
    }

    /** Takes a slot and tells whether there was one. */
    boolean take(int loadsPerMinute) throws PlatformException {
        Set<String> taken = new HashSet<>();
        for (StoreEntry e : store.list(PREFIX)) {
            taken.add(e.key());
        }
        for (int i = 0; i < loadsPerMinute; i++) {
            String key = PREFIX + i;
            if (!taken.contains(key)) {
                LeaseId lease = store.grantLease(HELD);
                byte[] value = "load".getBytes(StandardCharsets.UTF_8);
                boolean done =
                        store.compareAndSet(key, PlatformStore.ABSENT, value, lease) instanceof WriteOutcome.Done;
                return done;
            }
        }
        return false;
    }
}
