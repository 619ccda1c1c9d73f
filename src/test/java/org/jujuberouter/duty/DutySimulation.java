package org.jujuberouter.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.StorePosition;

/** Two to five instances with a store and the platform's API, on one virtual clock, with faults drawn from a seed. */
final class DutySimulation {
    /** A fault of the implementation that the simulation has to notice. */
    enum Variant {
        CORRECT,
        /** The token is not the revision of the creation but starts anew when the key has expired. */
        TOKEN_FROM_KEY_VERSION,
        /** A window is committed although it has a key. */
        COMMIT_WITHOUT_CHECK,
        /** A former leader tries again at once. */
        NO_QUIET_TIME
    }

    static final long WINDOW_MS = 5_000;
    static final long ALTERNATION_MS = 3_000;
    private static final long LEASE_MS = 6_000;
    private static final long STEP_MS = 20;
    private static final long MAX_STOP_MS = 12_000;
    static final long START_MS = 1_000_000_000L;
    private static final CustomerId CUSTOMER = CustomerId.of("hule930");

    private final Random random;
    private final Variant variant;
    private boolean faults;

    /** Whether the store ends leases before their time, as after a restart; a leader then acts until it learns of it. */
    private final boolean revokesLeases;

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Node> nodes = new ArrayList<>();
    private long now = START_MS;
    private long sequence;

    private long revision = 1;
    private Optional<Holder> holder = Optional.empty();
    private final TreeMap<Long, Map<CustomerId, Long>> committed = new TreeMap<>();
    private final Map<Long, Long> leaseEnds = new HashMap<>();
    private long leases;

    private boolean apiDown;
    private long highestToken;
    private final Map<Long, Incarnation> tokenUsers = new HashMap<>();
    private final Map<Long, Map<CustomerId, Long>> accepted = new TreeMap<>();
    private final List<Use> sent = new ArrayList<>();
    private final List<Use> carriedOut = new ArrayList<>();
    private final List<Run> runs = new ArrayList<>();
    final Map<Long, Long> acceptedAt = new TreeMap<>();
    final List<String> violations = new ArrayList<>();
    long executed;

    private record Holder(InstanceId instance, long revision, long lease) {}

    private record Run(long fromMs, long untilMs) {}

    private record Use(long atMs, Incarnation user) {}

    private record Event(long atMs, long order, Node node, long incarnation, Runnable action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMs != other.atMs ? Long.compare(atMs, other.atMs) : Long.compare(order, other.order);
        }
    }

    DutySimulation(long seed, Variant variant, boolean faults) {
        this.random = new Random(seed);
        this.variant = variant;
        this.faults = faults;
        this.revokesLeases = seed % 2 == 1;
        int count = 2 + random.nextInt(4);
        for (int i = 0; i < count; i++) {
            Node node = new Node(InstanceId.of("edge-" + i), faults ? random.nextInt(80) - 40 : 0);
            nodes.add(node);
            node.start(true);
        }
    }

    DutySimulation run(long durationMs) {
        for (long end = now + durationMs; now < end; now += STEP_MS) {
            if (faults) {
                injectFault();
            }
            expireLease();
            nodes.forEach(Node::advance);
            while (!events.isEmpty() && events.peek().atMs <= now) {
                Event e = events.poll();
                if (e.node == null) {
                    e.action.run();
                } else if (e.node.incarnation == e.incarnation && e.node.control != null) {
                    if (e.node.isStopped()) {
                        events.add(new Event(e.node.stoppedUntil, sequence++, e.node, e.incarnation, e.action));
                    } else {
                        e.action.run();
                    }
                }
            }
        }
        return this;
    }

    /** Kills all instances at the same moment; they start again after the given time. */
    DutySimulation killAll(long downMs) {
        List.copyOf(nodes).forEach(n -> n.crash(downMs));
        return this;
    }

    DutySimulation setApiDown(boolean down) {
        apiDown = down;
        return this;
    }

    int committedCount() {
        return committed.size();
    }

    long givenUp() {
        return nodes.stream().mapToLong(n -> n.control.givenUpWindows()).max().orElse(0);
    }

    /** Ends the faults; instances that are stopped or down return as planned. */
    DutySimulation endFaults() {
        faults = false;
        return this;
    }

    /** Returns whether an instance that ran at the end of the window ran on undisturbed for long enough to report its counts. */
    boolean hasSurvivor(long window) {
        long end = (window + 1) * WINDOW_MS;
        return Stream.concat(
                        runs.stream(),
                        nodes.stream().filter(n -> n.control != null).map(n -> new Run(n.runsSinceMs, now)))
                .anyMatch(r -> r.fromMs < end && r.untilMs > end + MAX_STOP_MS + LEASE_MS);
    }

    long currentWindow() {
        return Math.floorDiv(now, WINDOW_MS);
    }

    long acceptedTotal() {
        return accepted.values().stream()
                .flatMap(c -> c.values().stream())
                .mapToLong(n -> n)
                .sum();
    }

    private void injectFault() {
        if (random.nextInt(150) != 0) {
            return;
        }
        Node node = random.nextInt(3) > 0
                ? nodes.stream()
                        .filter(n -> holder.filter(h -> h.instance.equals(n.id)).isPresent())
                        .findFirst()
                        .orElse(nodes.getFirst())
                : nodes.get(random.nextInt(nodes.size()));
        if (node.control == null || node.isStopped()) {
            return;
        }
        switch (random.nextInt(6)) {
            case 0 -> node.stopFor(200 + random.nextInt((int) MAX_STOP_MS));
            case 1 -> {
                node.suspended = true;
                node.stopFor(200 + random.nextInt((int) MAX_STOP_MS));
            }
            case 2 -> node.crash(500 + random.nextInt(4_000));
            case 3 -> {
                node.control.stop();
                long number = node.incarnation;
                later(2_600, null, () -> {
                    if (node.incarnation == number && node.control != null) {
                        endLease(node.lease);
                        node.crash(500 + random.nextInt(2_000));
                    }
                });
            }
            case 4 -> {
                if (revokesLeases) {
                    endLease(node.lease);
                }
            }
            default -> {
                nodes.forEach(n -> n.skewMs = random.nextInt(80) - 40);
                node.skewMs = random.nextInt(8_000) - 4_000;
            }
        }
    }

    private void later(long delayMs, Node node, Runnable action) {
        events.add(new Event(now + delayMs, sequence++, node, node == null ? 0 : node.incarnation, action));
    }

    /** Executes a request after a delay and returns its reply after another; both may be long, the reply may be lost. */
    private <T> void request(Node node, long timeoutMs, T lost, Supplier<T> execution, Consumer<T> reply) {
        boolean faulty = faults && random.nextInt(12) == 0;
        long transitMs = faulty ? random.nextInt(5_000) : 1 + random.nextInt(30);
        boolean answered = !(faulty && random.nextBoolean());
        boolean[] done = new boolean[1];
        long number = node.incarnation;
        later(transitMs, null, () -> {
            T result = execution.get();
            if (answered && node.incarnation == number) {
                later(1 + random.nextInt(20), node, () -> {
                    if (!done[0]) {
                        done[0] = true;
                        reply.accept(result);
                    }
                });
            }
        });
        later(timeoutMs, node, () -> {
            if (!done[0]) {
                done[0] = true;
                reply.accept(lost);
            }
        });
    }

    private static StorePosition position(long atRevision) {
        return StorePosition.of(1, atRevision);
    }

    private void publish(Consumer<Node> change) {
        long atRevision = revision;
        for (Node node : nodes) {
            if (node.control != null) {
                // A watch delivers its changes in order; the batching delays them by up to 0.6 s.
                node.viewAtMs = Math.max(node.viewAtMs, now + random.nextInt(600));
                later(node.viewAtMs - now, node, () -> {
                    node.view = Math.max(node.view, atRevision);
                    change.accept(node);
                });
            }
        }
    }

    private void expireLease() {
        holder.filter(h -> leaseEnds.getOrDefault(h.lease, 0L) <= now).ifPresent(_ -> removeHolder());
    }

    private void endLease(long lease) {
        leaseEnds.remove(lease);
        expireLease();
    }

    private void removeHolder() {
        long removed = holder.orElseThrow().revision;
        holder = Optional.empty();
        revision++;
        publish(n -> n.control.holderRemoved(position(removed)));
    }

    private StoreWrite create(InstanceId instance, long lease) {
        if (holder.isPresent() || leaseEnds.getOrDefault(lease, 0L) <= now) {
            return new StoreWrite.Conflict();
        }
        revision++;
        long token = variant == Variant.TOKEN_FROM_KEY_VERSION ? 1 + revision % 2 : revision;
        holder = Optional.of(new Holder(instance, token, lease));
        publish(n -> n.control.holderWritten(instance, position(token)));
        return new StoreWrite.Applied(position(token));
    }

    private StoreWrite commit(long token, long window, Map<CustomerId, Long> counts, List<Long> obsolete) {
        boolean held = holder.filter(h -> h.revision == token).isPresent();
        if (variant != Variant.COMMIT_WITHOUT_CHECK && (!held || committed.containsKey(window))) {
            return new StoreWrite.Conflict();
        }
        revision++;
        committed.put(window, counts);
        obsolete.forEach(committed::remove);
        publish(n -> {
            n.control.windowWritten(window, counts);
            obsolete.forEach(n.control::windowRemoved);
        });
        return new StoreWrite.Applied(position(revision));
    }

    private DutyResult order(long token) {
        if (token < highestToken) {
            return DutyResult.FENCED;
        }
        highestToken = token;
        checkAlternation(carriedOut, tokenUsers.get(token));
        return DutyResult.ACCEPTED;
    }

    private DutyResult report(long token, long window, Map<CustomerId, Long> counts) {
        if (apiDown) {
            return DutyResult.UNANSWERED;
        }
        if (order(token) == DutyResult.FENCED) {
            return DutyResult.FENCED;
        }
        Map<CustomerId, Long> earlier = accepted.putIfAbsent(window, counts);
        acceptedAt.putIfAbsent(window, now);
        if (earlier != null && !earlier.equals(counts)) {
            violations.add("window " + window + " accepted as " + earlier + " and as " + counts);
        }
        return DutyResult.ACCEPTED;
    }

    /** Checks what an instance sends, whether or not the platform accepts it. */
    private void checkUse(Incarnation user, long token) {
        Incarnation other = tokenUsers.putIfAbsent(token, user);
        if (other != null && !other.equals(user)) {
            violations.add("token " + token + " used by " + other + " and " + user);
        }
        if (!revokesLeases) {
            checkAlternation(sent, user);
        }
    }

    private void checkAlternation(List<Use> uses, Incarnation user) {
        for (int i = uses.size() - 1; i > 0 && uses.get(i).atMs > now - ALTERNATION_MS; i--) {
            for (int j = i - 1; j >= 0 && uses.get(j).atMs > now - ALTERNATION_MS; j--) {
                InstanceId middle = uses.get(i).user.instance();
                if (!middle.equals(user.instance())
                        && uses.get(j).user.instance().equals(user.instance())) {
                    violations.add("leadership went from " + user + " to " + middle + " and back within "
                            + (now - uses.get(j).atMs) + " ms");
                }
            }
        }
        uses.add(new Use(now, user));
    }

    private final class Node implements DutyActions {
        private final InstanceId id;
        private long skewMs;
        private long incarnation;
        private long monotonicMs;
        private long runsSinceMs;
        private long stoppedUntil;
        private boolean suspended;
        private long lease;
        private long renewAtMs;
        private long view;
        private long viewAtMs;
        private DutyControl control;

        private Node(InstanceId id, long skewMs) {
            this.id = id;
            this.skewMs = skewMs;
        }

        private boolean isStopped() {
            return now < stoppedUntil;
        }

        private void stopFor(long ms) {
            runs.add(new Run(runsSinceMs, now));
            stoppedUntil = now + ms;
            runsSinceMs = stoppedUntil;
        }

        private Incarnation self() {
            return Incarnation.of(id, incarnation);
        }

        private void start(boolean first) {
            incarnation++;
            runsSinceMs = now;
            lease = 0;
            renewAtMs = now;
            long quietMs = variant == Variant.NO_QUIET_TIME ? -500 : ALTERNATION_MS;
            control = DutyControl.of(
                    () -> monotonicMs * 1_000_000,
                    () -> (now + skewMs) * 1_000_000,
                    self(),
                    new DutySettings(true, false, 5, quietMs, 300, WINDOW_MS),
                    LEASE_MS,
                    first || variant == Variant.NO_QUIET_TIME,
                    this);
            view = revision;
            viewAtMs = now;
            holder.ifPresent(h -> control.holderWritten(h.instance, position(h.revision)));
            committed.forEach(control::windowWritten);
        }

        private void crash(long downMs) {
            control = null;
            runs.add(new Run(runsSinceMs, now));
            incarnation++;
            nodes.stream()
                    .filter(n -> n.control != null)
                    .forEach(n -> n.control.disconnected(Incarnation.of(id, incarnation - 1)));
            later(downMs, null, () -> start(false));
        }

        private void advance() {
            if (!(suspended && isStopped())) {
                monotonicMs += STEP_MS;
            }
            if (control == null || isStopped()) {
                return;
            }
            suspended = false;
            if (now >= renewAtMs) {
                renew();
            }
            if (now % 100 == 0) {
                if (random.nextInt(2) == 0) {
                    executed++;
                    control.executed(CUSTOMER);
                }
                Set<InstanceId> listed = new HashSet<>();
                nodes.stream().filter(n -> n.control != null).forEach(n -> listed.add(n.id));
                control.tick(listed, position(view));
                if (control.isReportDue()) {
                    sendReport();
                }
                if (random.nextInt(3) == 0 && control.beginCall()) {
                    sendOrder(control.term().orElseThrow());
                }
            }
        }

        private void renew() {
            renewAtMs = now + 2_000;
            long sent = monotonicMs * 1_000_000;
            long renewed = lease == 0 ? ++leases : lease;
            boolean granted = lease == 0;
            lease = renewed;
            request(
                    this,
                    1_500,
                    Optional.<Boolean>empty(),
                    () -> {
                        boolean held = granted || leaseEnds.getOrDefault(renewed, 0L) > now;
                        if (held) {
                            leaseEnds.put(renewed, now + LEASE_MS);
                        }
                        return Optional.of(held);
                    },
                    held -> {
                        if (held.isPresent() && held.get()) {
                            control.leaseRenewed(sent);
                        } else if (held.isPresent() || granted) {
                            control.leaseLost();
                            lease = 0;
                            renewAtMs = now;
                        }
                    });
        }

        private void sendReport() {
            InstanceReport report = control.report(List.of());
            Incarnation source = self();
            Node leader = nodes.stream()
                    .filter(n -> control.holder().filter(n.id::equals).isPresent())
                    .findFirst()
                    .orElseThrow();
            if (leader.control == null) {
                return;
            }
            // Messages may be duplicated or overtake each other.
            for (int i = faults ? 1 + random.nextInt(2) : 1; i > 0; i--) {
                later(
                        leader == this ? 0 : 1 + random.nextInt(faults ? 400 : 5),
                        leader,
                        () -> leader.control
                                .reportReceived(source, report)
                                .ifPresent(reply -> later(1, this, () -> control.replyReceived(reply))));
            }
        }

        /** Sends a call of another duty, which is frequent, so that a change of the leader shows at once. */
        private void sendOrder(DutyTerm term) {
            checkUse(self(), term.token());
            request(
                    this,
                    1_000,
                    DutyResult.UNANSWERED,
                    () -> order(term.token()),
                    result -> control.callEnded(term, result));
        }

        @Override
        public void createHolder() {
            long usedLease = lease;
            request(this, 1_500, new StoreWrite.Unknown("lost"), () -> create(id, usedLease), control::holderCreated);
        }

        @Override
        public void deleteHolder(long token) {
            request(
                    this,
                    1_500,
                    false,
                    () -> {
                        holder.filter(h -> h.revision == token).ifPresent(_ -> removeHolder());
                        return true;
                    },
                    _ -> {});
        }

        @Override
        public void commitWindow(DutyTerm term, long window, Map<CustomerId, Long> counts, List<Long> obsolete) {
            request(
                    this,
                    1_500,
                    new StoreWrite.Unknown("lost"),
                    () -> commit(term.token(), window, counts, obsolete),
                    outcome -> control.windowCommitted(term, window, counts, obsolete, outcome));
        }

        @Override
        public void sendUsage(DutyTerm term, long window, Map<CustomerId, Long> counts) {
            checkUse(self(), term.token());
            request(
                    this,
                    1_000,
                    DutyResult.UNANSWERED,
                    () -> report(term.token(), window, counts),
                    result -> control.usageAnswered(term, window, result));
        }

        @Override
        public void log(String event, Map.Entry<?, ?>... fields) {}
    }
}
