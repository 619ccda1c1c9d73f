package org.jujuberouter.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.jujuberouter.misc.Ticker;

/**
 * In-memory implementation of the platform store, for tests and for the stand-in server.
 *
 * <p>All calls are serialized by a lock, and all writes are numbered by one counter, so revisions are never reused,
 * even after a delete. Every call first checks the leases against the ticker and deletes the entries of expired leases.
 * A watch waits in real time, because a virtual clock cannot wake a waiting thread; with a wait of zero it returns
 * immediately.
 */
public final class MemoryPlatformStore implements PlatformStore {
    private final Ticker ticker;
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final TreeMap<String, Slot> slots = new TreeMap<>();
    private final Map<LeaseId, Lease> leases = new HashMap<>();
    private long revision;
    private long leaseCount;

    private MemoryPlatformStore(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns an empty store whose leases expire by the given ticker. */
    public static MemoryPlatformStore create(Ticker ticker) {
        return new MemoryPlatformStore(ticker);
    }

    @Override
    public Optional<StoreEntry> read(String key) {
        lock.lock();
        try {
            expireLeases();
            return current(key);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public List<StoreEntry> list(String prefix) {
        lock.lock();
        try {
            expireLeases();
            List<StoreEntry> found = new ArrayList<>();
            for (Map.Entry<String, Slot> e : slots.tailMap(prefix).entrySet()) {
                if (!e.getKey().startsWith(prefix)) {
                    break;
                }
                found.add(e.getValue().entry());
            }
            return found;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public WriteOutcome compareAndSet(String key, long expectedRevision, byte[] value, LeaseId lease) {
        lock.lock();
        try {
            expireLeases();
            if (lease != null && !leases.containsKey(lease)) {
                // The entries of an expired lease are deleted, so the write would have no lasting effect.
                return new WriteOutcome.Conflict(current(key));
            }
            if (revisionOf(key) != expectedRevision) {
                return new WriteOutcome.Conflict(current(key));
            }
            revision++;
            slots.put(key, new Slot(StoreEntry.of(key, revision, value.clone()), lease));
            changed.signalAll();
            return new WriteOutcome.Done(revision);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public WriteOutcome delete(String key, long expectedRevision) {
        lock.lock();
        try {
            expireLeases();
            if (revisionOf(key) != expectedRevision) {
                return new WriteOutcome.Conflict(current(key));
            }
            if (slots.remove(key) != null) {
                revision++;
                changed.signalAll();
            }
            return new WriteOutcome.Done(revision);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) throws PlatformException {
        if (timeToLive.isNegative() || timeToLive.isZero()) {
            throw PlatformException.refused("grant lease", "the time to live must be positive, not " + timeToLive);
        }
        lock.lock();
        try {
            expireLeases();
            LeaseId id = LeaseId.of("lease-" + ++leaseCount);
            leases.put(id, new Lease(timeToLive.toNanos(), ticker.nanos() + timeToLive.toNanos()));
            return id;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public boolean renewLease(LeaseId lease) {
        lock.lock();
        try {
            expireLeases();
            Lease renewed = leases.computeIfPresent(
                    lease,
                    (id, granted) -> new Lease(granted.timeToLiveNanos(), ticker.nanos() + granted.timeToLiveNanos()));
            return renewed != null;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void revokeLease(LeaseId lease) {
        lock.lock();
        try {
            expireLeases();
            if (leases.remove(lease) != null) {
                deleteEntriesOfEndedLeases();
            }
        } finally {
            lock.unlock();
        }
    }

    @Override
    public Optional<StoreEntry> watch(String key, long afterRevision, Duration wait) throws PlatformException {
        long deadlineNanos = System.nanoTime() + wait.toNanos();
        lock.lock();
        try {
            while (true) {
                expireLeases();
                Slot slot = slots.get(key);
                if (slot != null && slot.entry().revision() > afterRevision) {
                    return Optional.of(slot.entry());
                }
                long remainingNanos = deadlineNanos - System.nanoTime();
                if (wait.isZero() || remainingNanos <= 0) {
                    return Optional.empty();
                }
                changed.awaitNanos(Math.min(remainingNanos, TimeUnit.SECONDS.toNanos(1)));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw PlatformException.unavailable("watch " + key, e);
        } finally {
            lock.unlock();
        }
    }

    private Optional<StoreEntry> current(String key) {
        return Optional.ofNullable(slots.get(key)).map(Slot::entry);
    }

    private long revisionOf(String key) {
        Slot slot = slots.get(key);
        return slot == null ? ABSENT : slot.entry().revision();
    }

    private void expireLeases() {
        long now = ticker.nanos();
        if (leases.values().removeIf(l -> now - l.expiryNanos() >= 0)) {
            deleteEntriesOfEndedLeases();
        }
    }

    private void deleteEntriesOfEndedLeases() {
        Iterator<Slot> all = slots.values().iterator();
        while (all.hasNext()) {
            LeaseId lease = all.next().lease();
            if (lease != null && !leases.containsKey(lease)) {
                all.remove();
                revision++;
            }
        }
        changed.signalAll();
    }

    private record Slot(StoreEntry entry, LeaseId lease) {}

    private record Lease(long timeToLiveNanos, long expiryNanos) {}
}
