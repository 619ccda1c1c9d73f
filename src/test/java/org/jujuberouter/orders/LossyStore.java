package org.jujuberouter.orders;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.jujuberouter.store.LeaseId;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;
import org.jujuberouter.store.WriteOutcome;

/** A store that loses the requests or the replies of some writes. */
record LossyStore(PlatformStore inner, SplittableRandom random, double losses) implements PlatformStore {
    private WriteOutcome lost() {
        return new WriteOutcome.Unknown(PlatformException.unavailable("write", new java.io.IOException("lost")));
    }

    @Override
    public Optional<StoreEntry> read(String key) throws PlatformException {
        return inner.read(key);
    }

    @Override
    public List<StoreEntry> list(String prefix) throws PlatformException {
        return inner.list(prefix);
    }

    @Override
    public WriteOutcome compareAndSet(String key, long expected, byte[] value, LeaseId lease) {
        double roll = random.nextDouble();
        if (roll < losses / 2) {
            return lost();
        }
        WriteOutcome outcome = inner.compareAndSet(key, expected, value, lease);
        return roll < losses ? lost() : outcome;
    }

    @Override
    public WriteOutcome delete(String key, long expected) {
        return inner.delete(key, expected);
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) throws PlatformException {
        return inner.grantLease(timeToLive);
    }

    @Override
    public boolean renewLease(LeaseId lease) throws PlatformException {
        return inner.renewLease(lease);
    }

    @Override
    public void revokeLease(LeaseId lease) throws PlatformException {
        inner.revokeLease(lease);
    }

    @Override
    public Optional<StoreEntry> watch(String key, long after, Duration wait) throws PlatformException {
        return inner.watch(key, after, wait);
    }
}
