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

/** Simulates operators, instances and a faulty store on a virtual clock; collects violations of the guarantees. */
final class SettingsSimulation {
    static final long MS = 1_000_000L;
    private static final long MAX_PROPAGATION_MS = 4_000;
    private static final long END_MS = 60_000;
    private static final long ACTIVE_PHASE_MS = 45_000;
    private static final int OPERATORS = 4;
    private static final int INSTANCES = 6;

    final ManualTicker ticker = ManualTicker.atZero();
    final Random random;
    final List<String> violations = new ArrayList<>();
    final Map<String, Integer> eventCounts = new TreeMap<>();
    final MemoryPlatformStore memory = MemoryPlatformStore.create(ticker);

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final BiFunction<SimulatedStoreClient, SettingsChange, Supplier<Optional<SettingsResult>>> editor;
    private final Map<String, SettingsChange> changes = new HashMap<>();
    private final Map<String, SettingsResult> results = new HashMap<>();
    private final NavigableMap<Long, Long> acceptedVersionByTime = new TreeMap<>();
    private final List<Node> nodes = new ArrayList<>();
    private final SimulatedStoreClient operatorClient = new SimulatedStoreClient(this);
    private long nextSequence;
    private long upSinceMs;
    boolean storeDown;

    /** Creates a simulation; {@code editor} starts a change and returns a supplier that runs its next step. */
    SettingsSimulation(
            long seed, BiFunction<SimulatedStoreClient, SettingsChange, Supplier<Optional<SettingsResult>>> editor) {
        this.random = new Random(seed);
        this.editor = editor;
    }

    List<String> run() throws Exception {
        for (int i = 0; i < INSTANCES; i++) {
            nodes.add(new Node(InstanceId.of("i" + i)));
        }
        operatorClient.faultyWrites = true;
        for (Node node : nodes) {
            node.start();
            schedule(random.nextLong(ACTIVE_PHASE_MS), node::restart);
            schedule(random.nextLong(ACTIVE_PHASE_MS), node::restart);
            schedule(random.nextLong(ACTIVE_PHASE_MS), () -> node.disconnectStore(random.nextLong(1_000, 9_000)));
        }
        for (int i = 0; i < 3; i++) {
            schedule(random.nextLong(ACTIVE_PHASE_MS - 8_000), () -> outage(random.nextLong(500, 8_000)));
        }
        for (int i = 0; i < OPERATORS; i++) {
            String operator = "op" + i;
            schedule(random.nextLong(500), () -> submitChange(operator));
        }
        schedule(0, this::checkPropagation);
        while (!events.isEmpty() && events.peek().atNanos() <= END_MS * MS) {
            Event next = events.poll();
            ticker.advanceTo(next.atNanos());
            next.action().run();
        }
        checkOutcomes(SettingsDocument.decode(
                memory.read(SettingsDocument.KEY).orElseThrow().value()));
        return violations;
    }

    void schedule(long delayMs, Runnable action) {
        events.add(new Event(ticker.nanos() + delayMs * MS, nextSequence++, action));
    }

    void countEvent(String event) {
        eventCounts.merge(event, 1, Integer::sum);
    }

    private void outage(long lengthMs) {
        countEvent("outage");
        storeDown = true;
        schedule(lengthMs, () -> {
            storeDown = false;
            upSinceMs = ticker.millis();
        });
    }

    private void submitChange(String operator) {
        if (ticker.millis() > ACTIVE_PHASE_MS) {
            return;
        }
        long baseVersion = nodes.get(random.nextInt(INSTANCES)).cache.version();
        String id = operator + "-" + changes.size();
        SettingsChange change = SettingsChange.of(id, operator, ticker.millis(), "", baseVersion)
                .withRebase(random.nextInt(4) > 0);
        String path = switch (random.nextInt(3)) {
            case 0 -> "global/weight";
            case 1 -> "customer/" + operator + "/key-hash";
            default -> "global/limits.requests-per-second";
        };
        JsonNode value = path.endsWith("key-hash")
                ? TextNode.valueOf(String.format("%064x", changes.size()))
                : DoubleNode.valueOf(changes.size() % 900 + 1);
        SettingsChange completeChange = change.set(path, value);
        changes.put(id, completeChange);
        runSteps(id, editor.apply(operatorClient, completeChange));
        schedule(random.nextLong(300, 4_000), () -> submitChange(operator));
    }

    private void runSteps(String id, Supplier<Optional<SettingsResult>> edit) {
        Optional<SettingsResult> result = edit.get();
        if (result.isEmpty()) {
            schedule(random.nextLong(1, 300), () -> runSteps(id, edit));
            return;
        }
        results.put(id, result.get());
        countEvent(result.get().getClass().getSimpleName());
        if (result.get() instanceof SettingsResult.Accepted a) {
            countEvent(a.resolved() ? "resolved" : "direct");
            acceptedVersionByTime.merge(ticker.millis(), a.record().version(), Math::max);
        }
    }

    private void checkPropagation() {
        long cutoffMs = ticker.millis() - MAX_PROPAGATION_MS;
        long maxPeerVersion = 0;
        for (Node n : nodes) {
            maxPeerVersion = Math.max(maxPeerVersion, n.versionAt(cutoffMs));
        }
        long accepted = acceptedVersionByTime.headMap(cutoffMs, true).values().stream()
                .mapToLong(v -> v)
                .max()
                .orElse(0);
        boolean storeWasReachable = !storeDown && upSinceMs <= cutoffMs;
        for (Node n : nodes) {
            if (n.up && n.upSinceMs <= cutoffMs) {
                if (n.cache.version() < maxPeerVersion) {
                    violations.add("at " + ticker.millis() + " " + n.id + " lacks version " + maxPeerVersion
                            + " of its peers");
                }
                if (storeWasReachable
                        && !n.store.disconnected
                        && n.reconnectedMs <= cutoffMs
                        && n.cache.version() < accepted) {
                    violations.add("at " + ticker.millis() + " " + n.id + " lacks accepted version " + accepted);
                }
            }
        }
        schedule(100, this::checkPropagation);
    }

    private void checkOutcomes(SettingsDocument last) {
        Map<String, JsonNode> replayed = new TreeMap<>();
        Map<String, Integer> occurrences = new HashMap<>();
        for (ChangeRecord c : last.history()) {
            occurrences.merge(c.changeId(), 1, Integer::sum);
            replayed.putAll(changes.get(c.changeId()).edits());
        }
        results.forEach((id, result) -> {
            int n = occurrences.getOrDefault(id, 0);
            boolean valid = switch (result) {
                case SettingsResult.Accepted _ -> n == 1;
                case SettingsResult.Unknown _ -> n <= 1;
                default -> n == 0;
            };
            if (!valid) {
                violations.add(id + " ended " + result + " and is there " + n + " times");
            }
        });
        if (results.size() != changes.size()) {
            violations.add(changes.size() + " changes, but " + results.size() + " results");
        }
        if (!replayed.toString().equals(last.values().toString())) {
            violations.add("values " + last.values() + " do not follow from the history, which gives " + replayed);
        }
        nodes.forEach(n -> {
            if (n.cache.version() != last.version()) {
                violations.add(n.id + " ends with version " + n.cache.version() + " of " + last.version());
            }
        });
    }

    /** An instance whose cache is updated from the store and by heartbeats and pulls from its peers. */
    private final class Node {
        private final InstanceId id;
        private final SimulatedStoreClient store = new SimulatedStoreClient(SettingsSimulation.this);
        private final TreeMap<Long, Long> versions = new TreeMap<>();
        private SettingsCache cache = SettingsCache.create(ticker);
        private boolean up;
        private int incarnation;
        private long upSinceMs;
        private long reconnectedMs;
        private long polledRevision;

        Node(InstanceId id) {
            this.id = id;
        }

        void start() {
            up = true;
            incarnation++;
            upSinceMs = ticker.millis();
            versions.clear();
            cache = SettingsCache.create(ticker);
            int startedIncarnation = incarnation;
            polledRevision = -1;
            cache.addListener(s -> {
                if (!versions.isEmpty() && versions.lastEntry().getValue() >= s.version()) {
                    violations.add(id + " reverted to version " + s.version());
                }
                versions.put(ticker.millis(), s.version());
            });
            SettingsWatcher watch = SettingsWatcher.of(store, cache);
            repeat(startedIncarnation, () -> poll(watch));
            repeat(startedIncarnation, this::heartbeat);
            repeat(startedIncarnation, () -> {
                cache.startPull().ifPresent(this::pull);
                return 100;
            });
        }

        /** Emulates a blocking watch, which returns after a change or if the store becomes unreachable. */
        private long poll(SettingsWatcher watch) {
            boolean reachable = !storeDown && !store.disconnected;
            long revision =
                    memory.read(SettingsDocument.KEY).map(StoreEntry::revision).orElse(0L);
            if (reachable && revision == polledRevision) {
                return 20;
            }
            polledRevision = reachable ? revision : -1;
            return Math.max(20, watch.step().toMillis());
        }

        void restart() {
            countEvent("restart");
            up = false;
            incarnation++;
            int startedIncarnation = incarnation;
            schedule(random.nextLong(200, 3_000), () -> {
                if (incarnation == startedIncarnation) {
                    start();
                }
            });
        }

        void disconnectStore(long lengthMs) {
            store.disconnected = true;
            schedule(lengthMs, () -> {
                store.disconnected = false;
                reconnectedMs = ticker.millis();
            });
        }

        long versionAt(long timeMs) {
            Map.Entry<Long, Long> version = versions.floorEntry(timeMs);
            return up && version != null ? version.getValue() : 0;
        }

        private long heartbeat() {
            long version = cache.version();
            nodes.stream().filter(n -> n != this && n.up).forEach(n -> n.cache.observePeer(id, version));
            return 1_000;
        }

        private void pull(InstanceId from) {
            countEvent("pull");
            int startedIncarnation = incarnation;
            nodes.stream().filter(n -> n.id.equals(from) && n.up).forEach(n -> {
                // The reply is delayed, so the node may already have a newer document when it arrives.
                SettingsDocument sent = n.cache.document();
                schedule(random.nextLong(1, 400), () -> {
                    if (incarnation == startedIncarnation) {
                        cache.updateFromPeer(sent);
                    }
                });
            });
        }

        private void repeat(int startedIncarnation, LongSupplier step) {
            if (incarnation == startedIncarnation) {
                schedule(step.getAsLong(), () -> repeat(startedIncarnation, step));
            }
        }
    }

    private record Event(long atNanos, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int timeOrder = Long.compare(atNanos, other.atNanos);
            return timeOrder != 0 ? timeOrder : Long.compare(sequence, other.sequence);
        }
    }
}
