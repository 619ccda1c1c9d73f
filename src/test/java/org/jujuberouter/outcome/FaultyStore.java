package org.jujuberouter.outcome;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.jujuberouter.store.LeaseId;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;
import org.jujuberouter.store.WriteOutcome;

/** A store that loses replies, lets writes take effect later and has outages, and that calls back around each operation. */
final class FaultyStore {
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

    /** Returns the store as its users see it; a call that no record needs is an error. */
    PlatformStore store() {
        Class<?>[] types = {PlatformStore.class};
        return (PlatformStore) Proxy.newProxyInstance(getClass().getClassLoader(), types, (p, method, args) -> {
            between.run();
            boolean lost = isDown() || roll(0.05);
            return switch (method.getName()) {
                case "compareAndSet" -> lost ? unknown() : write((String) args[0], (long) args[1], (byte[]) args[2]);
                case "read" -> Optional.ofNullable(entries.get(answered(lost, (String) args[0])));
                case "grantLease" -> LeaseId.of(answered(lost, "lease"));
                default -> throw new UnsupportedOperationException(method.getName());
            };
        });
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

    private WriteOutcome write(String key, long expected, byte[] value) {
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
        if ((current == null ? PlatformStore.ABSENT : current.revision()) != expected) {
            return new WriteOutcome.Conflict(Optional.ofNullable(current));
        }
        entries.put(key, StoreEntry.of(key, ++revision, value));
        return new WriteOutcome.Done(revision);
    }

    private boolean isDown() {
        if (!late.isEmpty() && roll((1 - lateChance) / 5)) {
            late.remove(random.nextInt(late.size())).run();
        }
        down = !healthy && (down ? random.nextDouble() < 0.7 : random.nextDouble() < 0.03);
        return down;
    }

    private boolean roll(double chance) {
        return !healthy && random.nextDouble() < chance;
    }

    private static String answered(boolean lost, String value) throws PlatformException {
        if (lost) {
            throw PlatformException.unavailable("call", null);
        }
        return value;
    }

    private static WriteOutcome unknown() {
        return new WriteOutcome.Unknown(PlatformException.unavailable("write", null));
    }
}
