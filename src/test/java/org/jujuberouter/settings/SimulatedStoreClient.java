package org.jujuberouter.settings;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jujuberouter.store.LeaseId;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;
import org.jujuberouter.store.WriteOutcome;

/** A client's connection to the simulated store, which can be disconnected, lose replies and delay writes. */
final class SimulatedStoreClient implements PlatformStore {
    private static final double LOST_REPLY_PROBABILITY = 0.12;
    private static final double DELAYED_WRITE_PROBABILITY = 0.12;

    private final SettingsSimulation simulation;
    boolean disconnected;
    boolean faultyWrites;

    SimulatedStoreClient(SettingsSimulation simulation) {
        this.simulation = simulation;
    }

    @Override
    public Optional<StoreEntry> read(String key) throws PlatformException {
        requireReachable("read");
        return simulation.memory.read(key);
    }

    @Override
    public WriteOutcome compareAndSet(String key, long expectedRevision, byte[] value, LeaseId lease) {
        if (simulation.storeDown || disconnected) {
            return new WriteOutcome.Unknown(unavailable("write"));
        }
        double draw = faultyWrites ? simulation.random.nextDouble() : 1;
        if (draw < DELAYED_WRITE_PROBABILITY) {
            simulation.countEvent("delayed effect");
            simulation.schedule(
                    simulation.random.nextLong(1, 3_000),
                    () -> simulation.memory.compareAndSet(key, expectedRevision, value, lease));
            return new WriteOutcome.Unknown(unavailable("write"));
        }
        WriteOutcome outcome = simulation.memory.compareAndSet(key, expectedRevision, value, lease);
        if (draw < DELAYED_WRITE_PROBABILITY + LOST_REPLY_PROBABILITY) {
            simulation.countEvent("lost reply");
            return new WriteOutcome.Unknown(unavailable("write"));
        }
        return outcome;
    }

    @Override
    public Optional<StoreEntry> watch(String key, long afterRevision, Duration wait) throws PlatformException {
        requireReachable("watch");
        return simulation.memory.watch(key, afterRevision, Duration.ZERO);
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

    private void requireReachable(String operation) throws PlatformException {
        if (simulation.storeDown || disconnected) {
            throw unavailable(operation);
        }
    }

    private static PlatformException unavailable(String operation) {
        return PlatformException.unavailable(operation, null);
    }
}
