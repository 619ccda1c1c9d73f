package org.jujuberouter.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Tests that a crashing request takes down at most two endpoints and that no harmless request is quarantined. */
class QuarantineTest {
    private static final int SEEDS = Integer.getInteger("jujuberouter.seeds", 200);
    private static final int NO_REPLACEMENT = Integer.MAX_VALUE;
    private static final int NO_BOUND = Integer.MAX_VALUE;
    private static final Fingerprint CRASHING = Fingerprint.of("culprit");

    @Test
    void losesTwoEndpointsIfNoticesArriveBeforeTheResend() throws IOException {
        maxEndpointsLost("notices first, evidence alone", new Setting(false, 1, 50, 100, NO_REPLACEMENT), 2);
    }

    @Test
    void losesMoreWithoutTheArbiterIfResendsOvertakeNotices() throws IOException {
        int maxLost = maxEndpointsLost(
                "resends overtake, evidence alone", new Setting(false, 4, 8000, 10, NO_REPLACEMENT), NO_BOUND);
        assertTrue(maxLost > 2, "resends do not overtake notices in this schedule");
    }

    @Test
    void losesTwoEndpointsWithTheArbiterIfResendsOvertakeNoticesOrRunConcurrently() throws IOException {
        maxEndpointsLost("resends overtake, arbiter", new Setting(true, 4, 8000, 10, NO_REPLACEMENT), 2);
        maxEndpointsLost(
                "notices up to 20 s late, arbiter", new Setting(true, 4, 20_000, 10, NO_REPLACEMENT), NO_BOUND);
    }

    @Test
    void losesAtMostTwoEndpointsPerArbiterIfItIsReplaced() throws IOException {
        maxEndpointsLost("quick notices, arbiter replaced", new Setting(true, 4, 50, 10, 1300), 3);
        maxEndpointsLost("resends overtake, arbiter replaced", new Setting(true, 4, 8000, 10, 1300), 4);
    }

    /** A power failure that ends two endpoints is no evidence against a request which happened to run on both. */
    @Test
    @Tag("known-red")
    void doesNotQuarantineACompletedRequestWhoseEndpointsCrashTogether() {
        ManualTicker ticker = ManualTicker.atZero();
        CrashEvidence evidence = CrashEvidence.empty(ticker);
        RunArbiter arbiter = RunArbiter.of(evidence, ticker);
        Fingerprint sound = Fingerprint.of("sound");
        arbiter.request(sound, RequestId.of("r1"), Duration.ofSeconds(10));
        arbiter.completed(sound, RequestId.of("r1"));
        for (String run : List.of("r2", "r3")) {
            assertInstanceOf(RunDecision.Run.class, arbiter.request(sound, RequestId.of(run), Duration.ofSeconds(10)));
        }
        ticker.advance(Duration.ofMillis(500));
        evidence.crashed(new CrashNotice("c1", EndpointId.of("e1"), Set.of(sound), Duration.ZERO));
        evidence.crashed(new CrashNotice("c2", EndpointId.of("e2"), Set.of(sound), Duration.ZERO));
        assertEquals(QuarantineStatus.MARKED, evidence.status(sound));
    }

    @Test
    void agreesIndependentlyOfTheOrderOfNotices() {
        for (int seed = 0; seed < SEEDS; seed++) {
            ManualTicker ticker = ManualTicker.atZero();
            List<Consumer<CrashEvidence>> notices = new ArrayList<>();
            Random random = new Random(seed);
            for (int i = 0; i < 16; i++) {
                Fingerprint f = Fingerprint.of("f" + random.nextInt(4));
                String crash = "c" + random.nextInt(6);
                notices.add(
                        i < 10
                                ? e -> e.merge(new CrashNotice(crash, EndpointId.of(crash), Set.of(f), Duration.ZERO))
                                : e -> e.merge(new ClearNotice(f, Set.of(crash), Duration.ZERO)));
            }
            CrashEvidence first = CrashEvidence.empty(ticker);
            CrashEvidence second = CrashEvidence.empty(ticker);
            notices.forEach(n -> n.accept(first));
            notices.addAll(List.copyOf(notices));
            Collections.shuffle(notices, random);
            notices.forEach(n -> n.accept(second));
            for (int f = 0; f < 4; f++) {
                Fingerprint fingerprint = Fingerprint.of("f" + f);
                assertEquals(first.status(fingerprint), second.status(fingerprint), "seed " + seed);
            }
            ticker.advance(CrashEvidence.MARK_LIFETIME);
            second.expire();
            assertEquals(0, second.size(), "evidence must expire");
        }
    }

    @Test
    void letsCompletedRequestsRunConcurrentlyUntilACrashMarksThem() {
        ManualTicker ticker = ManualTicker.atZero();
        CrashEvidence evidence = CrashEvidence.empty(ticker);
        RunArbiter arbiter = RunArbiter.of(evidence, ticker);
        Duration minute = Duration.ofMinutes(1);
        assertEquals(new RunDecision.Run(List.of()), arbiter.request(CRASHING, RequestId.of("1"), minute));
        assertTrue(arbiter.request(CRASHING, RequestId.of("2"), minute) instanceof RunDecision.Wait);
        arbiter.completed(CRASHING, RequestId.of("1"));
        assertTrue(arbiter.request(CRASHING, RequestId.of("2"), minute) instanceof RunDecision.Run);
        assertTrue(arbiter.request(CRASHING, RequestId.of("3"), minute) instanceof RunDecision.Run);
        evidence.merge(new CrashNotice("c1", EndpointId.of("e"), Set.of(CRASHING), Duration.ZERO));
        assertTrue(arbiter.request(CRASHING, RequestId.of("4"), minute) instanceof RunDecision.Wait);
        ticker.advance(minute);
        arbiter.expire();
        assertEquals(0, arbiter.size());
    }

    private static int maxEndpointsLost(String name, Setting setting, int bound) throws IOException {
        List<QuarantineSimulation> simulations = IntStream.range(0, SEEDS)
                .mapToObj(s -> new QuarantineSimulation(s, setting))
                .toList();
        int maxLost = simulations.stream().mapToInt(s -> s.crashes).max().orElseThrow();
        double mean = simulations.stream().mapToInt(s -> s.crashes).average().orElseThrow();
        long harmlessQuarantined = simulations.stream()
                .mapToLong(QuarantineSimulation::quarantinedHarmless)
                .sum();
        int unfinished = simulations.stream().mapToInt(s -> s.unfinished.size()).sum();
        System.out.printf(
                "quarantine, %s: %d seeds, endpoints lost: most %d, mean %.2f; harmless quarantined: %d, unfinished: %d%n",
                name, simulations.size(), maxLost, mean, harmlessQuarantined, unfinished);
        assertTrue(maxLost <= bound, maxLost + " endpoints lost");
        if (bound == 2) {
            for (QuarantineSimulation simulation : simulations) {
                simulation.assertEntryStored();
            }
            assertEquals(0, harmlessQuarantined, "harmless requests quarantined");
            assertEquals(0, unfinished, "harmless requests that never finished");
        }
        return maxLost;
    }

    /** At {@code newArbiterMillis} another instance, which has only the notices, becomes the arbiter. */
    private record Setting(boolean arbiter, int callers, int maxNoticeMillis, int resendMillis, int newArbiterMillis) {}

    private record Event(long at, int order, Runnable action) {}

    /** Five instances with eight endpoints, one crashing request sent by several callers, and harmless requests. */
    private static final class QuarantineSimulation {
        private static final int INSTANCES = 5;
        private static final int ENDPOINTS = 8;
        private static final int HARMLESS_REQUESTS = 30;
        private final ManualTicker ticker = ManualTicker.atZero();
        private final PriorityQueue<Event> events = new PriorityQueue<>(
                (a, b) -> a.at == b.at ? Integer.compare(a.order, b.order) : Long.compare(a.at, b.at));
        private final List<CrashEvidence> evidence = new ArrayList<>();
        private final List<RunArbiter> arbiters = new ArrayList<>();
        private final List<List<Run>> inFlight = new ArrayList<>();
        private final Set<Fingerprint> unfinished = new HashSet<>();
        private final Random random;
        private final Setting setting;
        private final List<QuarantineEntry> storedEntries = new ArrayList<>();
        private final int[] starts = new int[ENDPOINTS];
        private int ids;
        private int crashes;

        QuarantineSimulation(int seed, Setting setting) {
            this.random = new Random(seed);
            this.setting = setting;
            for (int i = 0; i < INSTANCES; i++) {
                evidence.add(CrashEvidence.empty(ticker));
                arbiters.add(RunArbiter.of(evidence.get(i), ticker));
            }
            for (int e = 0; e < ENDPOINTS; e++) {
                inFlight.add(new ArrayList<>());
            }
            for (int c = 0; c < setting.callers; c++) {
                at(1000 + random.nextInt(100), () -> send(CRASHING, 0));
            }
            for (int n = 0; n < HARMLESS_REQUESTS; n++) {
                Fingerprint harmless = Fingerprint.of("innocent" + n);
                unfinished.add(harmless);
                at(random.nextInt(2000), () -> send(harmless, 0));
            }
            while (!events.isEmpty()) {
                Event event = events.remove();
                ticker.advanceTo(event.at * 1_000_000);
                event.action.run();
            }
        }

        long quarantinedHarmless() {
            return IntStream.range(0, HARMLESS_REQUESTS)
                    .mapToObj(n -> Fingerprint.of("innocent" + n))
                    .filter(f -> evidence.stream().anyMatch(e -> e.status(f) == QuarantineStatus.QUARANTINED))
                    .count();
        }

        /** Checks that an instance that starts later refuses the crashing request by the entry in the store. */
        void assertEntryStored() throws IOException {
            List<QuarantineEntry> stored = storedEntries.stream()
                    .filter(e -> e.fingerprint().equals(CRASHING))
                    .toList();
            assertTrue(
                    stored.size() == 1 || stored.size() == 2, stored.size() + " instances write the quarantine entry");
            CrashEvidence newInstance = CrashEvidence.empty(ticker);
            newInstance.merge(QuarantineEntry.parse(stored.getFirst().toJson()));
            assertEquals(QuarantineStatus.QUARANTINED, newInstance.status(CRASHING));
        }

        private void at(long delay, Runnable action) {
            events.add(new Event(ticker.millis() + delay, ids++, action));
        }

        private void send(Fingerprint fingerprint, int tries) {
            RequestId id = RequestId.of("r" + ids++);
            RunArbiter arbiter = arbiterOf(fingerprint);
            RunDecision decision = setting.arbiter
                    ? arbiter.request(fingerprint, id, Duration.ofMinutes(1))
                    : new RunDecision.Run(List.of());
            int endpoint = random.nextInt(ENDPOINTS);
            CrashEvidence owner = evidence.get(endpoint % INSTANCES);
            if (decision instanceof RunDecision.Run run) {
                run.marks().forEach(owner::merge);
            }
            boolean refused = decision instanceof RunDecision.Refuse
                    || fingerprint.equals(CRASHING) && owner.status(fingerprint) == QuarantineStatus.QUARANTINED;
            List<Fingerprint> running =
                    inFlight.get(endpoint).stream().map(Run::fingerprint).toList();
            if (refused || decision instanceof RunDecision.Wait || !owner.mayRunBeside(fingerprint, running)) {
                arbiter.released(fingerprint, id);
                if (!refused && tries < 2000) {
                    at(20, () -> send(fingerprint, tries + 1));
                }
                return;
            }
            Run run = new Run(fingerprint, id);
            inFlight.get(endpoint).add(run);
            at(100 + random.nextInt(400), () -> {
                if (inFlight.get(endpoint).contains(run)) {
                    end(endpoint, run);
                }
            });
        }

        private RunArbiter arbiterOf(Fingerprint fingerprint) {
            int shift = ticker.millis() < setting.newArbiterMillis ? 0 : 1;
            return arbiters.get(Math.floorMod(fingerprint.hashCode() + shift, INSTANCES));
        }

        private void end(int endpoint, Run run) {
            if (run.fingerprint.equals(CRASHING)) {
                crash(endpoint);
                return;
            }
            inFlight.get(endpoint).remove(run);
            unfinished.remove(run.fingerprint);
            arbiterOf(run.fingerprint).completed(run.fingerprint, run.id);
            evidence.get(endpoint % INSTANCES)
                    .completed(run.fingerprint)
                    .ifPresent(clear -> evidence.forEach(
                            peer -> at(random.nextInt(setting.maxNoticeMillis), () -> peer.merge(clear))));
        }

        private void crash(int endpoint) {
            crashes++;
            List<Run> running = List.copyOf(inFlight.get(endpoint));
            inFlight.get(endpoint).clear();
            Set<Fingerprint> marked =
                    new HashSet<>(running.stream().map(Run::fingerprint).toList());
            String crashId = "e" + endpoint + "#" + starts[endpoint]++;
            EndpointId name = EndpointId.of("e" + endpoint);
            CrashNotice notice = new CrashNotice(crashId, name, marked, Duration.ZERO);
            storedEntries.addAll(evidence.get(endpoint % INSTANCES).crashed(notice));
            long crashedAt = ticker.millis();
            for (CrashEvidence peer : evidence) {
                for (int repeat = 0; repeat < 2; repeat++) {
                    at(random.nextInt(setting.maxNoticeMillis), () -> {
                        Duration age = Duration.ofMillis(ticker.millis() - crashedAt);
                        storedEntries.addAll(peer.merge(new CrashNotice(crashId, name, marked, age)));
                    });
                }
            }
            for (Run run : running) {
                arbiterOf(run.fingerprint).lost(run.fingerprint, run.id, crashId);
                at(1 + random.nextInt(setting.resendMillis) + setting.resendMillis, () -> send(run.fingerprint, 0));
            }
        }

        private record Run(Fingerprint fingerprint, RequestId id) {}
    }
}
