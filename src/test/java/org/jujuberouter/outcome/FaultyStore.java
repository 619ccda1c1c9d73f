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

/**
 * A store that loses replies, delays writes and has outages; runs a callback before each operation and after writes.
 */
final class FaultyStore {
    private final Map<String, StoreEntry> entries = new HashMap<>();
    private final List<Runnable> lateWrites = new ArrayList<>();
    private final Random random;
    private long revision;
    private boolean down;
    private boolean healthy;
    double lateWriteChance = 0.15;
    Runnable onOperation = () -> {};

    FaultyStore(Random random) {
        this.random = random;
    }

    /** Returns the store interface; only the operations that idempotency records use are supported. */
    PlatformStore store() {
        Class<?>[] types = {PlatformStore.class};
        return (PlatformStore) Proxy.newProxyInstance(getClass().getClassLoader(), types, (p, method, args) -> {
            onOperation.run();
            boolean lost = isDown() || occurs(0.05);
            return switch (method.getName()) {
                case "compareAndSet" -> lost ? unknown() : write((String) args[0], (long) args[1], (byte[]) args[2]);
                case "read" -> Optional.ofNullable(entries.get(requireReply(lost, (String) args[0])));
                case "grantLease" -> LeaseId.of(requireReply(lost, "lease"));
                default -> throw new UnsupportedOperationException(method.getName());
            };
        });
    }

    /** Ends all faults; late writes stay pending. */
    void endFaults() {
        healthy = true;
        down = false;
    }

    void applyLateWrites() {
        lateWrites.forEach(Runnable::run);
        lateWrites.clear();
    }

    private WriteOutcome write(String key, long expected, byte[] value) {
        if (occurs(lateWriteChance)) {
            lateWrites.add(() -> apply(key, expected, value));
            return unknown();
        }
        WriteOutcome outcome = apply(key, expected, value);
        onOperation.run();
        return occurs(0.15) ? unknown() : outcome;
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
        if (!lateWrites.isEmpty() && occurs((1 - lateWriteChance) / 5)) {
            lateWrites.remove(random.nextInt(lateWrites.size())).run();
        }
        down = !healthy && (down ? random.nextDouble() < 0.7 : random.nextDouble() < 0.03);
        return down;
    }

    private boolean occurs(double chance) {
        return !healthy && random.nextDouble() < chance;
    }

    private static String requireReply(boolean lost, String value) throws PlatformException {
        if (lost) {
            throw PlatformException.unavailable("call", null);
        }
        return value;
    }

    private static WriteOutcome unknown() {
        return new WriteOutcome.Unknown(PlatformException.unavailable("write", null));
    }
}
