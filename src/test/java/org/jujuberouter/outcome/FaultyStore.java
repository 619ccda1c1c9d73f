package org.jujuberouter.outcome;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.jujuberouter.platform.LeaseId;
import org.jujuberouter.platform.PlatformException;
import org.jujuberouter.platform.PlatformStore;
import org.jujuberouter.platform.StoreEntry;
import org.jujuberouter.platform.WriteOutcome;

/** A store that loses replies, lets writes take effect later and has outages, and that calls back around each operation. */
final class FaultyStore implements PlatformStore {
    private final Map<String, StoreEntry> entries = new HashMap<>();
    private final List<Runnable> late = new ArrayList<>();
    private final Random random;
    private long revision;
    private boolean down;
    private boolean healthy;
    double lateChance = 0.15;
    Runnable between = () -> {};

    FaultyStore(Random random) {
        this.random = random;
    }

    /** Ends all faults; writes that are still to take effect stay so. */
    void endFaults() {
        healthy = true;
        down = false;
    }

    void applyLateWrites() {
        late.forEach(Runnable::run);
        late.clear();
    }

    @Override
    public Optional<StoreEntry> read(String key) throws PlatformException {
        between.run();
        if (isDown() || roll(0.1)) {
            throw PlatformException.unavailable("read", null);
        }
        return Optional.ofNullable(entries.get(key));
    }

    @Override
    public WriteOutcome compareAndSet(String key, long expected, byte[] value, LeaseId lease) {
        between.run();
        if (isDown() || roll(0.05)) {
            return unknown();
        }
        if (roll(lateChance)) {
            late.add(() -> apply(key, expected, value));
            return unknown();
        }
        WriteOutcome outcome = apply(key, expected, value);
        between.run();
        return roll(0.15) ? unknown() : outcome;
    }

    private WriteOutcome apply(String key, long expected, byte[] value) {
        StoreEntry current = entries.get(key);
        if ((current == null ? ABSENT : current.revision()) != expected) {
            return new WriteOutcome.Conflict(Optional.ofNullable(current));
        }
        entries.put(key, StoreEntry.of(key, ++revision, value));
        return new WriteOutcome.Done(revision);
    }

    private boolean isDown() {
        if (!late.isEmpty() && roll(0.1)) {
            late.remove(random.nextInt(late.size())).run();
        }
        down = !healthy && (down ? random.nextDouble() < 0.7 : random.nextDouble() < 0.03);
        return down;
    }

    private boolean roll(double chance) {
        return !healthy && random.nextDouble() < chance;
    }

    private static WriteOutcome unknown() {
        return new WriteOutcome.Unknown(PlatformException.unavailable("write", null));
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) throws PlatformException {
        if (isDown()) {
            throw PlatformException.unavailable("grant", null);
        }
        return LeaseId.of("lease");
    }

    @Override
    public List<StoreEntry> list(String prefix) {
        throw new UnsupportedOperationException();
    }

    @Override
    public WriteOutcome delete(String key, long expected) {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean renewLease(LeaseId lease) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void revokeLease(LeaseId lease) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Optional<StoreEntry> watch(String key, long afterRevision, Duration wait) {
        throw new UnsupportedOperationException();
    }
}
