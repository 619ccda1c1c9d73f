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
 * A platform store in the memory of this process, for tests and for the stand-in server.
 *
 * <p>One lock orders all calls and one counter numbers all writes, so revisions never repeat, also not after a delete.
 * Leases are checked against the ticker at the start of every call; an ended lease deletes its entries before the call
 * looks at them. A watch waits in real time, because a virtual clock cannot wake a waiting thread; with a wait of zero it
 * returns at once and needs no real time.
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

    /** Returns an empty store whose leases run on the given ticker. */
    public static MemoryPlatformStore create(Ticker ticker) {
        return new MemoryPlatformStore(ticker);
    }

    @Override
    public Optional<StoreEntry> read(String key) {
        lock.lock();
        try {
            endLapsedLeases();
            return current(key);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public List<StoreEntry> list(String prefix) {
        lock.lock();
        try {
            endLapsedLeases();
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
            endLapsedLeases();
            if (lease != null && !leases.containsKey(lease)) {
                // An ended lease deletes its entries, so the write would have no lasting effect.
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
            endLapsedLeases();
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
            endLapsedLeases();
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
            endLapsedLeases();
            Lease renewed = leases.computeIfPresent(
                    lease, (id, old) -> new Lease(old.timeToLiveNanos(), ticker.nanos() + old.timeToLiveNanos()));
            return renewed != null;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public void revokeLease(LeaseId lease) {
        lock.lock();
        try {
            endLapsedLeases();
            if (leases.remove(lease) != null) {
                dropEntriesOfEndedLeases();
            }
        } finally {
            lock.unlock();
        }
    }

    @Override
    public Optional<StoreEntry> watch(String key, long afterRevision, Duration wait) throws PlatformException {
        long deadline = System.nanoTime() + wait.toNanos();
        lock.lock();
        try {
            while (true) {
                endLapsedLeases();
                Slot slot = slots.get(key);
                if (slot != null && slot.entry().revision() > afterRevision) {
                    return Optional.of(slot.entry());
                }
                long left = deadline - System.nanoTime();
                if (wait.isZero() || left <= 0) {
                    return Optional.empty();
                }
                changed.awaitNanos(Math.min(left, TimeUnit.SECONDS.toNanos(1)));
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

    private void endLapsedLeases() {
        long now = ticker.nanos();
        if (leases.values().removeIf(l -> now - l.endNanos() >= 0)) {
            dropEntriesOfEndedLeases();
        }
    }

    private void dropEntriesOfEndedLeases() {
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

    private record Lease(long timeToLiveNanos, long endNanos) {}
}
