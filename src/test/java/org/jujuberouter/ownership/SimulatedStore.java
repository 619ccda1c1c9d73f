package org.jujuberouter.ownership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.store.LeaseId;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;
import org.jujuberouter.store.WriteOutcome;

/** An in-memory store that loses replies, delays writes and has outages; deterministic for a seed. */
final class SimulatedStore implements PlatformStore {
    int writes;
    boolean down;

    /** Share of the writes whose reply is lost; half of these take effect later or not at all. */
    double lostReplyRate;

    private final Ticker ticker;
    private final Random random;
    private final TreeMap<String, Stored> entries = new TreeMap<>();
    private final Map<LeaseId, Long> leases = new HashMap<>();
    private final List<Runnable> delayed = new ArrayList<>();
    private long revision;

    SimulatedStore(Ticker ticker, long seed) {
        this.ticker = ticker;
        this.random = new Random(seed);
    }

    /** Applies delayed writes and expires leases. */
    void step() {
        if (!delayed.isEmpty() && random.nextInt(20) == 0) {
            delayed.removeFirst().run();
        }
        leases.values().removeIf(end -> ticker.nanos() - end >= 0);
        entries.values().removeIf(e -> e.lease != null && !leases.containsKey(e.lease));
    }

    @Override
    public Optional<StoreEntry> read(String key) throws PlatformException {
        check("read " + key);
        return Optional.ofNullable(entries.get(key)).map(e -> StoreEntry.of(key, e.revision, e.value));
    }

    @Override
    public List<StoreEntry> list(String prefix) {
        throw new UnsupportedOperationException();
    }

    @Override
    public WriteOutcome compareAndSet(String key, long expected, byte[] value, LeaseId lease) {
        writes++;
        boolean lost = random.nextDouble() < lostReplyRate;
        if (down || (lost && random.nextInt(4) == 0)) {
            return unknown(key);
        }
        if (lost && random.nextInt(3) == 0) {
            delayed.add(() -> apply(key, expected, value, lease));
            return unknown(key);
        }
        WriteOutcome outcome = apply(key, expected, value, lease);
        return lost ? unknown(key) : outcome;
    }

    private WriteOutcome apply(String key, long expected, byte[] value, LeaseId lease) {
        Stored current = entries.get(key);
        if ((current == null ? ABSENT : current.revision) != expected) {
            return new WriteOutcome.Conflict(
                    Optional.ofNullable(current).map(e -> StoreEntry.of(key, e.revision, e.value)));
        }
        if (lease != null && !leases.containsKey(lease)) {
            return unknown(key);
        }
        entries.put(key, new Stored(++revision, value, lease));
        return new WriteOutcome.Done(revision);
    }

    @Override
    public WriteOutcome delete(String key, long expectedRevision) {
        throw new UnsupportedOperationException();
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) throws PlatformException {
        check("grant lease");
        LeaseId lease = LeaseId.of("lease" + leases.size() + "-" + random.nextLong());
        leases.put(lease, ticker.nanos() + timeToLive.toNanos());
        return lease;
    }

    @Override
    public boolean renewLease(LeaseId lease) throws PlatformException {
        check("renew " + lease);
        writes++;
        long end = ticker.nanos() + Registration.LEASE.toNanos();
        return leases.computeIfPresent(lease, (l, old) -> end) != null;
    }

    @Override
    public void revokeLease(LeaseId lease) throws PlatformException {
        check("revoke " + lease);
        leases.remove(lease);
        step();
    }

    @Override
    public Optional<StoreEntry> watch(String key, long afterRevision, Duration wait) {
        throw new UnsupportedOperationException();
    }

    private void check(String operation) throws PlatformException {
        if (down || random.nextDouble() < lostReplyRate / 4) {
            throw PlatformException.unavailable(operation, null);
        }
    }

    private static WriteOutcome unknown(String key) {
        return new WriteOutcome.Unknown(PlatformException.unavailable("write " + key, null));
    }

    private record Stored(long revision, byte[] value, LeaseId lease) {}
}
