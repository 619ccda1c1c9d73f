package org.jujuberouter.outcome;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jujuberouter.error.Outcome;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.IdempotencyKey;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/**
 * Guards against a non-idempotent call that runs twice, a "not run" that is untrue, and a key that stays blocked although
 * nothing ran. Several instances share one faulty store; each store operation may let any other send run in between.
 */
class AtMostOnceTest {
    private static final int SEEDS = Integer.getInteger("jujuberouter.seeds", 200);

    @Test
    void runsEachKeyAtMostOnceAndSaysNotRunOnlyWhenTrue() {
        int executed = 0;
        int notRun = 0;
        int unblocked = 0;
        int replays = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            World world = new World(seed, false);
            world.run();
            assertEquals(0, world.doubled(), "seed " + seed + ": keys that ran twice");
            unblocked += world.assertNoUnusedKeyIsBlocked(seed);
            executed += world.runsByKey.size();
            notRun += world.notRunAnswers;
            replays += world.replays;
        }
        System.out.printf(
                "at most once: %d seeds, %d keys ran, 0 twice, %d not-run answers all true, %d replays, %d keys free again%n",
                SEEDS, executed, notRun, replays, unblocked);
        assertTrue(
                executed > 0 && notRun > 0 && unblocked > 0 && replays > 0, "the schedule no longer reaches all cases");
    }

    @Test
    void freesAKeyForGoodWhenItsRecordCanStillAppearLater() {
        ManualTicker ticker = ManualTicker.atZero();
        FaultyStore store = new FaultyStore(new Random(1));
        OnceRecords records = OnceRecords.of(store, ticker);
        store.lateChance = 1;
        assertInstanceOf(BeginResult.Unavailable.class, records.begin(World.call("k"), RequestId.of("r1")));
        store.endFaults();
        assertEquals(0, records.settle());
        store.applyLateWrites();
        assertInstanceOf(BeginResult.Run.class, records.begin(World.call("k"), RequestId.of("r2")));
    }

    @Test
    void findsDoubleRunsWhenErrorsAreSimplyRetried() {
        int doubled = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            World world = new World(seed, true);
            world.run();
            doubled += world.doubled() > 0 ? 1 : 0;
        }
        System.out.printf("retry on error without records: %d of %d seeds ran a key twice%n", doubled, SEEDS);
        assertTrue(doubled > SEEDS / 2, "the schedule does not provoke double runs");
    }

    private static final class Died extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    private static final class World {
        private static final int INSTANCES = 3;
        private static final int MAX_SENDS = 5;
        private final ManualTicker ticker = ManualTicker.atZero();
        private final Random random;
        private final boolean naive;
        private final boolean deaths;
        private final FaultyStore store;
        private final List<OnceRecords> instances = new ArrayList<>();
        private final List<String> pending = new ArrayList<>();
        private final Map<String, Integer> sends = new HashMap<>();
        private final Map<String, Integer> runsByKey = new HashMap<>();
        private final Set<String> ranRequests = new HashSet<>();
        private final Set<String> doubtful = new HashSet<>();
        private int ids;
        private int depth;
        private int notRunAnswers;
        private int replays;

        World(int seed, boolean naive) {
            this.random = new Random(seed);
            this.naive = naive;
            this.deaths = seed % 2 == 0;
            this.store = new FaultyStore(random);
            store.lateChance = deaths ? 0.15 : 0.5;
            for (int i = 0; i < INSTANCES; i++) {
                instances.add(OnceRecords.of(store, ticker));
            }
            for (int k = 0; k < 4; k++) {
                pending.add("key" + k);
                pending.add("key" + k);
                sends.put("key" + k, 2);
            }
        }

        void run() {
            while (!pending.isEmpty()) {
                step();
            }
        }

        long doubled() {
            return runsByKey.values().stream().filter(n -> n > 1).count();
        }

        private void step() {
            int at = random.nextInt(INSTANCES);
            OnceRecords records = instances.get(at);
            Runnable outer = store.between;
            store.between = () -> interleave(at, records);
            depth++;
            String key = pending.isEmpty() ? null : pending.remove(random.nextInt(pending.size()));
            try {
                if (key == null || random.nextInt(4) == 0) {
                    records.settle();
                }
                if (key != null && !send(key, records) && sends.merge(key, 1, Integer::sum) <= MAX_SENDS) {
                    pending.add(key);
                }
            } catch (Died e) {
                if (instances.get(at) == records) {
                    instances.set(at, OnceRecords.of(store, ticker));
                }
                if (key != null && sends.merge(key, 1, Integer::sum) <= MAX_SENDS) {
                    pending.add(key);
                }
            } finally {
                depth--;
                store.between = outer;
            }
        }

        /** Lets other sends run between two operations of one instance, and the instance die. */
        private void interleave(int at, OnceRecords records) {
            if (depth < 4 && random.nextInt(4) == 0) {
                step();
            }
            if (instances.get(at) != records || deaths && random.nextInt(40) == 0) {
                throw new Died();
            }
        }

        /** Sends a call once and tells whether the caller has its answer. */
        private boolean send(String key, OnceRecords records) {
            RequestId id = RequestId.of("r" + ids++);
            OnceAttempt attempt = null;
            if (!naive) {
                BeginResult begun = records.begin(call(key), id);
                if (begun instanceof BeginResult.Replay replay) {
                    replays++;
                    assertArrayEquals(answer(key), replay.result().body());
                    return true;
                }
                if (!(begun instanceof BeginResult.Run run)) {
                    return false;
                }
                attempt = run.attempt();
            }
            Outcome outcome = deliver(key, id);
            if (outcome == Outcome.NOT_RUN) {
                notRunAnswers++;
                assertTrue(!ranRequests.contains(id.value()), "said not-run, but the service ran " + id);
            }
            if (outcome == Outcome.MAY_HAVE_RUN) {
                doubtful.add(key);
            }
            if (!naive && outcome == Outcome.NOT_RUN) {
                records.notRun(attempt);
            } else if (!naive && outcome == Outcome.COMPLETED) {
                records.finished(attempt, StoredResult.of(200, "text/plain", answer(key)));
            }
            return outcome == Outcome.COMPLETED;
        }

        private Outcome deliver(String key, RequestId id) {
            RequestLifecycle lifecycle = RequestLifecycle.of(
                    naive ? CallKind.IDEMPOTENT : CallKind.KEYED,
                    Deadline.after(ticker, Duration.ofSeconds(1)),
                    RetryBudget.full());
            lifecycle.on(new RequestEvent.Admitted());
            while (true) {
                lifecycle.on(new RequestEvent.PermitGranted(EndpointId.of("e" + random.nextInt(3))));
                if (lifecycle.on(attemptOnce(key, id, lifecycle)) instanceof RequestDecision.Finish finish) {
                    return finish.outcome();
                }
            }
        }

        private RequestEvent attemptOnce(String key, RequestId id, RequestLifecycle lifecycle) {
            int attempt = lifecycle.attempt();
            int fate = random.nextInt(7);
            if (fate < 2) {
                return random.nextInt(3) == 0
                        ? new RequestEvent.DeadlinePassed()
                        : new RequestEvent.ConnectionRefused(attempt);
            }
            lifecycle.on(new RequestEvent.FirstByteWritten(attempt));
            if (!naive) {
                store.between.run();
            }
            if (fate == 2) {
                return new RequestEvent.ProvedNotStarted(attempt);
            }
            if (fate != 3) {
                runsByKey.merge(key, 1, Integer::sum);
                ranRequests.add(id.value());
            }
            return fate >= 5 ? new RequestEvent.Finished(attempt) : new RequestEvent.Broken(attempt);
        }

        int assertNoUnusedKeyIsBlocked(int seed) {
            store.endFaults();
            for (OnceRecords records : instances) {
                assertEquals(0, records.settle(), "seed " + seed + ": left to settle with a healthy store");
            }
            // A write that takes effect only now must not bring back a record of an attempt that was settled.
            store.applyLateWrites();
            int free = 0;
            for (String key : sends.keySet()) {
                if (!deaths && !runsByKey.containsKey(key) && !doubtful.contains(key)) {
                    BeginResult begun = instances.getFirst().begin(call(key), RequestId.of("last" + key));
                    assertInstanceOf(BeginResult.Run.class, begun, "seed " + seed + ": " + key + " stays blocked");
                    free++;
                }
            }
            return free;
        }

        private static byte[] answer(String key) {
            return ("credited " + key).getBytes(StandardCharsets.UTF_8);
        }

        private static OnceCall call(String key) {
            byte[] body = key.getBytes(StandardCharsets.UTF_8);
            return OnceCall.of(
                    CustomerId.of("c"), IdempotencyKey.of(key), ServiceName.of("ledger"), "POST /credits", body);
        }
    }
}
