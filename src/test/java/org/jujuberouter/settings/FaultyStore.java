package org.jujuberouter.settings;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jujuberouter.store.LeaseId;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;
import org.jujuberouter.store.WriteOutcome;

/** One client's way to the simulated store, which can be cut, lose replies and delay effects. */
final class FaultyStore implements PlatformStore {
    private static final double LOST = 0.12;
    private static final double DELAYED = 0.12;

    private final SettingsSimulation run;
    boolean cut;
    boolean lossy;

    FaultyStore(SettingsSimulation run) {
        this.run = run;
    }

    @Override
    public Optional<StoreEntry> read(String key) throws PlatformException {
        requireUp("read");
        return run.memory.read(key);
    }

    @Override
    public WriteOutcome compareAndSet(String key, long expectedRevision, byte[] value, LeaseId lease) {
        if (run.away || cut) {
            return new WriteOutcome.Unknown(away("write"));
        }
        double fate = lossy ? run.random.nextDouble() : 1;
        if (fate < DELAYED) {
            run.note("delayed effect");
            run.at(run.random.nextLong(1, 3_000), () -> run.memory.compareAndSet(key, expectedRevision, value, lease));
            return new WriteOutcome.Unknown(away("write"));
        }
        WriteOutcome outcome = run.memory.compareAndSet(key, expectedRevision, value, lease);
        if (fate < DELAYED + LOST) {
            run.note("lost reply");
            return new WriteOutcome.Unknown(away("write"));
        }
        return outcome;
    }

    @Override
    public Optional<StoreEntry> watch(String key, long afterRevision, Duration wait) throws PlatformException {
        requireUp("watch");
        return run.memory.watch(key, afterRevision, Duration.ZERO);
    }

    @Override
    public List<StoreEntry> list(String prefix) {
        throw new UnsupportedOperationException("list");
    }

    @Override
    public WriteOutcome delete(String key, long expectedRevision) {
        throw new UnsupportedOperationException("delete");
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) {
        throw new UnsupportedOperationException("grantLease");
    }

    @Override
    public boolean renewLease(LeaseId lease) {
        throw new UnsupportedOperationException("renewLease");
    }

    @Override
    public void revokeLease(LeaseId lease) {
        throw new UnsupportedOperationException("revokeLease");
    }

    private void requireUp(String operation) throws PlatformException {
        if (run.away || cut) {
            throw away(operation);
        }
    }

    private static PlatformException away(String operation) {
        return PlatformException.unavailable(operation, null);
    }
}
