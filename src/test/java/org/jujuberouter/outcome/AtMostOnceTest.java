package org.jujuberouter.outcome;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.jujuberouter.error.ExecutionOutcome;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.IdempotencyKey;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/**
 * Guards against a non-idempotent call that runs twice, a wrong outcome "not run", and a key that stays blocked
 * although nothing ran. Several instances share one faulty store, and other sends may run during each store operation.
 */
class AtMostOnceTest {
    private static final int SEEDS = Integer.getInteger("jujuberouter.seeds", 200);

    @Test
    void runsEachKeyAtMostOnceAndAnswersNotRunOnlyWhenTrue() {
        int[] seen = new int[4];
        for (int seed = 0; seed < SEEDS; seed++) {
            Simulation simulation = new Simulation(seed, false);
            assertEquals(0, simulation.keysRunTwice(), "seed " + seed + ": keys that ran twice");
            seen[0] += simulation.runsByKey.size();
            seen[1] += simulation.notRunOutcomes;
            seen[2] += simulation.replays;
            seen[3] += simulation.assertNoUnusedKeyIsBlocked(seed);
        }
        System.out.printf(
                "at most once: %d seeds, %d keys ran, 0 twice, %d not-run outcomes all true, %d replays, %d keys free again%n",
                SEEDS, seen[0], seen[1], seen[2], seen[3]);
        for (int count : seen) {
            assertTrue(count > 0, "the schedule no longer reaches all cases");
        }
    }

    @Test
    void freesAKeyWhoseRecordCanStillAppearLater() {
        FaultyStore store = new FaultyStore(new Random(1));
        IdempotencyStore idempotencyStore = IdempotencyStore.of(store.store(), ManualTicker.atZero());
        store.lateWriteChance = 1;
        assertInstanceOf(BeginResult.Unavailable.class, idempotencyStore.begin(call("k"), RequestId.of("r1")));
        store.endFaults();
        assertEquals(0, idempotencyStore.processPending());
        store.applyLateWrites();
        assertInstanceOf(BeginResult.Run.class, idempotencyStore.begin(call("k"), RequestId.of("r2")));
    }

    @Test
    void detectsDoubleRunsWhenErrorsAreRetriedWithoutRecords() {
        int seedsWithDoubleRuns = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            seedsWithDoubleRuns += new Simulation(seed, true).keysRunTwice() > 0 ? 1 : 0;
        }
        System.out.printf(
                "retry on error without records: %d of %d seeds ran a key twice%n", seedsWithDoubleRuns, SEEDS);
        assertTrue(seedsWithDoubleRuns > SEEDS / 2, "the schedule does not provoke double runs");
    }

    private static KeyedCall call(String key) {
        return KeyedCall.of(
                CustomerId.of("c"), IdempotencyKey.of(key), ServiceName.of("ledger"), "POST /credits", key.getBytes());
    }

    private static final class InstanceCrash extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /**
     * Three instances and four keys; each key is sent twice concurrently and resent until its caller has a response.
     */
    private static final class Simulation {
        private static final int INSTANCES = 3;
        private static final int MAX_SENDS = 5;
        private final ManualTicker ticker = ManualTicker.atZero();
        private final Random random;
        private final boolean withoutRecords;
        private final boolean crashes;
        private final FaultyStore store;
        private final List<IdempotencyStore> instances = new ArrayList<>();
        private final List<String> pending = new ArrayList<>();
        private final Map<String, Integer> sends = new HashMap<>();
        private final Map<String, Integer> runsByKey = new HashMap<>();
        private final Set<RequestId> ranRequests = new HashSet<>();
        private final Set<String> mayHaveRun = new HashSet<>();
        private int ids;
        private int depth;
        private int notRunOutcomes;
        private int replays;

        Simulation(int seed, boolean withoutRecords) {
            this.random = new Random(seed);
            this.withoutRecords = withoutRecords;
            this.crashes = seed % 2 == 0;
            this.store = new FaultyStore(random);
            store.lateWriteChance = crashes ? 0.15 : 0.5;
            for (int i = 0; i < INSTANCES; i++) {
                instances.add(IdempotencyStore.of(store.store(), ticker));
            }
            for (String key : List.of("key0", "key1", "key2", "key3")) {
                pending.addAll(List.of(key, key));
                sends.put(key, 2);
            }
            while (!pending.isEmpty()) {
                step();
            }
        }

        long keysRunTwice() {
            return runsByKey.values().stream().filter(n -> n > 1).count();
        }

        private void step() {
            int at = random.nextInt(INSTANCES);
            IdempotencyStore idempotencyStore = instances.get(at);
            Runnable outer = store.onOperation;
            store.onOperation = () -> interleave(at, idempotencyStore);
            depth++;
            String key = pending.isEmpty() ? null : pending.remove(random.nextInt(pending.size()));
            boolean responded = key == null;
            try {
                if (key == null || random.nextInt(4) == 0) {
                    idempotencyStore.processPending();
                }
                responded = key == null || send(key, idempotencyStore);
            } catch (InstanceCrash e) {
                if (instances.get(at) == idempotencyStore) {
                    instances.set(at, IdempotencyStore.of(store.store(), ticker));
                }
            }
            if (!responded && sends.merge(key, 1, Integer::sum) <= MAX_SENDS) {
                pending.add(key);
            }
            depth--;
            store.onOperation = outer;
        }

        /** Runs other sends between two operations of an instance, or crashes the instance. */
        private void interleave(int at, IdempotencyStore idempotencyStore) {
            if (depth < 4 && random.nextInt(4) == 0) {
                step();
            }
            if (instances.get(at) != idempotencyStore || crashes && random.nextInt(40) == 0) {
                throw new InstanceCrash();
            }
        }

        /** Sends a call once and returns whether the caller got a response. */
        private boolean send(String key, IdempotencyStore idempotencyStore) {
            RequestId id = RequestId.of("r" + ids++);
            if (withoutRecords) {
                return checked(deliver(key, id, CallKind.IDEMPOTENT), key, id) == ExecutionOutcome.COMPLETED;
            }
            switch (idempotencyStore.begin(call(key), id)) {
                case BeginResult.Replay replay -> {
                    replays++;
                    assertArrayEquals(key.getBytes(), replay.result().body());
                    return true;
                }
                case BeginResult.Run run -> {
                    ExecutionOutcome outcome = checked(deliver(key, id, CallKind.KEYED), key, id);
                    if (outcome == ExecutionOutcome.NOT_RUN) {
                        idempotencyStore.recordNotRun(run.attempt());
                    } else if (outcome == ExecutionOutcome.COMPLETED) {
                        idempotencyStore.recordResult(
                                run.attempt(), StoredResult.of(200, "text/plain", key.getBytes()));
                    }
                    return outcome == ExecutionOutcome.COMPLETED;
                }
                default -> {
                    return false;
                }
            }
        }

        private ExecutionOutcome checked(ExecutionOutcome outcome, String key, RequestId id) {
            if (outcome == ExecutionOutcome.NOT_RUN) {
                notRunOutcomes++;
                assertTrue(!ranRequests.contains(id), "reported not-run, but the service ran " + id);
            } else if (outcome == ExecutionOutcome.MAY_HAVE_RUN) {
                mayHaveRun.add(key);
            }
            return outcome;
        }

        private ExecutionOutcome deliver(String key, RequestId id, CallKind kind) {
            Deadline deadline = Deadline.after(ticker, Duration.ofSeconds(1));
            RequestLifecycle lifecycle = RequestLifecycle.of(kind, deadline, RetryBudget.full());
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
            int choice = random.nextInt(7);
            if (choice < 2) {
                return random.nextInt(3) == 0
                        ? new RequestEvent.DeadlinePassed()
                        : new RequestEvent.ConnectionRefused(attempt);
            }
            lifecycle.on(new RequestEvent.FirstByteWritten(attempt));
            store.onOperation.run();
            if (choice == 2) {
                return new RequestEvent.ConfirmedNotStarted(attempt);
            }
            if (choice != 3) {
                runsByKey.merge(key, 1, Integer::sum);
                ranRequests.add(id);
            }
            return choice >= 5 ? new RequestEvent.Finished(attempt) : new RequestEvent.ConnectionLost(attempt);
        }

        int assertNoUnusedKeyIsBlocked(int seed) {
            store.endFaults();
            instances.forEach(r -> assertEquals(0, r.processPending(), "seed " + seed + ": left with a healthy store"));
            // A write that takes effect only now must not restore the record of an attempt that was resolved.
            store.applyLateWrites();
            List<String> unused = new ArrayList<>(crashes ? Set.of() : sends.keySet());
            unused.removeAll(runsByKey.keySet());
            unused.removeAll(mayHaveRun);
            for (String key : unused) {
                BeginResult result = instances.getFirst().begin(call(key), RequestId.of("last" + key));
                assertInstanceOf(BeginResult.Run.class, result, "seed " + seed + ": " + key + " stays blocked");
            }
            return unused.size();
        }
    }
}
