package org.jujuberouter.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.ManualTicker;
import org.jujuberouter.store.MemoryPlatformStore;
import org.jujuberouter.store.StoreEntry;

/** Operators, instances and a faulty store on a virtual clock; collects every broken promise. */
final class SettingsSimulation {
    static final long MS = 1_000_000L;
    private static final long IN_FORCE_MS = 4_000;
    private static final long END_MS = 60_000;
    private static final long QUIET_MS = 45_000;
    private static final int OPERATORS = 4;
    private static final int INSTANCES = 6;

    final ManualTicker ticker = ManualTicker.atZero();
    final Random random;
    final List<String> broken = new ArrayList<>();
    final Map<String, Integer> seen = new TreeMap<>();
    final MemoryPlatformStore memory = MemoryPlatformStore.create(ticker);

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final BiFunction<FaultyStore, SettingsChange, Supplier<Optional<SettingsResult>>> editing;
    private final Map<String, SettingsChange> changes = new HashMap<>();
    private final Map<String, SettingsResult> results = new HashMap<>();
    private final NavigableMap<Long, Long> acceptedByTime = new TreeMap<>();
    private final List<Node> nodes = new ArrayList<>();
    private final FaultyStore operatorsStore = new FaultyStore(this);
    private long count;
    private long upSinceMs;
    boolean away;

    /** Creates a run; the function starts an edit and returns its steps. */
    SettingsSimulation(long seed, BiFunction<FaultyStore, SettingsChange, Supplier<Optional<SettingsResult>>> editing) {
        this.random = new Random(seed);
        this.editing = editing;
    }

    List<String> run() throws Exception {
        for (int i = 0; i < INSTANCES; i++) {
            nodes.add(new Node(InstanceId.of("i" + i)));
        }
        operatorsStore.lossy = true;
        for (Node node : nodes) {
            node.start();
            at(random.nextLong(QUIET_MS), node::restart);
            at(random.nextLong(QUIET_MS), node::restart);
            at(random.nextLong(QUIET_MS), () -> node.loseStore(random.nextLong(1_000, 9_000)));
        }
        for (int i = 0; i < 3; i++) {
            at(random.nextLong(QUIET_MS - 8_000), () -> outage(random.nextLong(500, 8_000)));
        }
        for (int i = 0; i < OPERATORS; i++) {
            String operator = "op" + i;
            at(random.nextLong(500), () -> operate(operator));
        }
        at(0, this::checkInForce);
        while (!events.isEmpty() && events.peek().atNanos() <= END_MS * MS) {
            Event next = events.poll();
            ticker.advanceTo(next.atNanos());
            next.action().run();
        }
        checkOutcomes(SettingsDocument.decode(
                memory.read(SettingsDocument.KEY).orElseThrow().value()));
        return broken;
    }

    void at(long delayMs, Runnable action) {
        events.add(new Event(ticker.nanos() + delayMs * MS, count++, action));
    }

    void note(String what) {
        seen.merge(what, 1, Integer::sum);
    }

    private void outage(long lengthMs) {
        note("outage");
        away = true;
        at(lengthMs, () -> {
            away = false;
            upSinceMs = ticker.millis();
        });
    }

    private void operate(String operator) {
        if (ticker.millis() > QUIET_MS) {
            return;
        }
        long seenVersion = nodes.get(random.nextInt(INSTANCES)).cache.version();
        String id = operator + "-" + changes.size();
        SettingsChange change = SettingsChange.of(id, operator, ticker.millis(), "", seenVersion)
                .withRebase(random.nextInt(4) > 0);
        String path = switch (random.nextInt(3)) {
            case 0 -> "global/weight";
            case 1 -> "customer/" + operator + "/key-hash";
            default -> "global/limits.requests-per-second";
        };
        JsonNode value = path.endsWith("key-hash")
                ? TextNode.valueOf(String.format("%064x", changes.size()))
                : DoubleNode.valueOf(changes.size() % 900 + 1);
        SettingsChange full = change.set(path, value);
        changes.put(id, full);
        drive(id, editing.apply(operatorsStore, full));
        at(random.nextLong(300, 4_000), () -> operate(operator));
    }

    private void drive(String id, Supplier<Optional<SettingsResult>> edit) {
        Optional<SettingsResult> result = edit.get();
        if (result.isEmpty()) {
            at(random.nextLong(1, 300), () -> drive(id, edit));
            return;
        }
        results.put(id, result.get());
        note(result.get().getClass().getSimpleName());
        if (result.get() instanceof SettingsResult.Accepted a) {
            note(a.resolved() ? "resolved" : "direct");
            acceptedByTime.merge(ticker.millis(), a.record().version(), Math::max);
        }
    }

    private void checkInForce() {
        long before = ticker.millis() - IN_FORCE_MS;
        long spread = 0;
        for (Node n : nodes) {
            spread = Math.max(spread, n.versionHeldSince(before));
        }
        long accepted = acceptedByTime.headMap(before, true).values().stream()
                .mapToLong(v -> v)
                .max()
                .orElse(0);
        boolean storeWasUp = !away && upSinceMs <= before;
        for (Node n : nodes) {
            if (n.up && n.upSinceMs <= before) {
                if (n.cache.version() < spread) {
                    broken.add("at " + ticker.millis() + " " + n.id + " lacks version " + spread + " of its peers");
                }
                if (storeWasUp && !n.store.cut && n.storeSinceMs <= before && n.cache.version() < accepted) {
                    broken.add("at " + ticker.millis() + " " + n.id + " lacks accepted version " + accepted);
                }
            }
        }
        at(100, this::checkInForce);
    }

    private void checkOutcomes(SettingsDocument last) {
        Map<String, JsonNode> replayed = new TreeMap<>();
        Map<String, Integer> times = new HashMap<>();
        for (ChangeRecord c : last.history()) {
            times.merge(c.changeId(), 1, Integer::sum);
            replayed.putAll(changes.get(c.changeId()).edits());
        }
        results.forEach((id, result) -> {
            int n = times.getOrDefault(id, 0);
            boolean right = switch (result) {
                case SettingsResult.Accepted _ -> n == 1;
                case SettingsResult.Unknown _ -> n <= 1;
                default -> n == 0;
            };
            if (!right) {
                broken.add(id + " ended " + result + " and is there " + n + " times");
            }
        });
        if (results.size() != changes.size()) {
            broken.add(changes.size() + " changes, but " + results.size() + " results");
        }
        if (!replayed.toString().equals(last.values().toString())) {
            broken.add("values " + last.values() + " do not follow from the history, which gives " + replayed);
        }
        nodes.forEach(n -> {
            if (n.cache.version() != last.version()) {
                broken.add(n.id + " ends with version " + n.cache.version() + " of " + last.version());
            }
        });
    }

    /** One instance: a cache that follows the store and exchanges heartbeats and pulls with its peers. */
    private final class Node {
        private final InstanceId id;
        private final FaultyStore store = new FaultyStore(SettingsSimulation.this);
        private final TreeMap<Long, Long> versions = new TreeMap<>();
        private SettingsCache cache = SettingsCache.create(ticker);
        private boolean up;
        private int life;
        private long upSinceMs;
        private long storeSinceMs;
        private long polledRevision;

        Node(InstanceId id) {
            this.id = id;
        }

        void start() {
            up = true;
            life++;
            upSinceMs = ticker.millis();
            versions.clear();
            cache = SettingsCache.create(ticker);
            int mine = life;
            polledRevision = -1;
            cache.addListener(s -> {
                if (!versions.isEmpty() && versions.lastEntry().getValue() >= s.version()) {
                    broken.add(id + " went back to version " + s.version());
                }
                versions.put(ticker.millis(), s.version());
            });
            SettingsWatcher watch = SettingsWatcher.of(store, cache);
            repeat(mine, () -> poll(watch));
            repeat(mine, this::heartbeat);
            repeat(mine, () -> {
                cache.startPull().ifPresent(this::pull);
                return 100;
            });
        }

        /** Emulates the waiting poll: it ends at a change or when the store is lost. */
        private long poll(SettingsWatcher watch) {
            boolean reachable = !away && !store.cut;
            long revision =
                    memory.read(SettingsDocument.KEY).map(StoreEntry::revision).orElse(0L);
            if (reachable && revision == polledRevision) {
                return 20;
            }
            polledRevision = reachable ? revision : -1;
            return Math.max(20, watch.step().toMillis());
        }

        void restart() {
            note("restart");
            up = false;
            life++;
            int mine = life;
            at(random.nextLong(200, 3_000), () -> {
                if (life == mine) {
                    start();
                }
            });
        }

        void loseStore(long lengthMs) {
            store.cut = true;
            at(lengthMs, () -> {
                store.cut = false;
                storeSinceMs = ticker.millis();
            });
        }

        long versionHeldSince(long timeMs) {
            Map.Entry<Long, Long> held = versions.floorEntry(timeMs);
            return up && held != null ? held.getValue() : 0;
        }

        private long heartbeat() {
            long version = cache.version();
            nodes.stream().filter(n -> n != this && n.up).forEach(n -> n.cache.observePeer(id, version));
            return 1_000;
        }

        private void pull(InstanceId from) {
            note("pull");
            int mine = life;
            nodes.stream().filter(n -> n.id.equals(from) && n.up).forEach(n -> {
                // The document is as old as the reply is late, so a newer one may be in force when it arrives.
                SettingsDocument sent = n.cache.document();
                at(random.nextLong(1, 400), () -> {
                    if (life == mine) {
                        cache.updateFromPeer(sent);
                    }
                });
            });
        }

        private void repeat(int mine, LongSupplier step) {
            if (life == mine) {
                at(step.getAsLong(), () -> repeat(mine, step));
            }
        }
    }

    private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }
}
