package org.jujuberouter.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.jujuberouter.misc.ManualTicker;
import org.jujuberouter.misc.RecentMaximum;
import org.junit.jupiter.api.Test;

/**
 * Guards against retries of all instances that exceed their common budget while instances stop, restart and are added.
 *
 * <p>All calls fail, so that each instance uses what its limiter permits. An instance restarts at most once in a window.
 */
class RetryBudgetSimulationTest {
    private static final int SEEDS = 200;
    private static final int STEP_MS = 50;
    private static final int STEPS = 900;
    private static final int WINDOW_STEPS = 200;
    private static final double RATIO = 0.2;
    private static final int SLACK = 100;

    /** Time until an instance has received a change of the list of instances. */
    private static final int MAX_VIEW_LAG_STEPS = 12;

    private final class Instance {
        private RetryLimiter limiter;
        private RecentMaximum count;
        private int restartAt;
        private int downUntil;
        private int addedAt;

        private void start(boolean forgetful) {
            long windowMs = (long) WINDOW_STEPS * STEP_MS;
            long fullSlackAt = ticker.nanos()
                    + (forgetful ? 0 : Duration.ofMillis(windowMs).toNanos());
            limiter = RetryLimiter.of(ticker, windowMs, RATIO, SLACK, fullSlackAt);
            count = RecentMaximum.of(ticker, forgetful ? 0 : windowMs, 1);
        }
    }

    private final ManualTicker ticker = ManualTicker.atZero();
    private final List<Integer> listed = new ArrayList<>();
    private final int[] requests = new int[STEPS];
    private final int[] retries = new int[STEPS];

    @Test
    void keepsTheRetriesOfAllInstancesWithinTheBudgetWhileTheyRestart() {
        int most = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            most = Math.max(most, excess(seed, false));
        }
        assertEquals(0, most, "retries beyond the budget in the worst window of " + SEEDS + " seeds");
    }

    /** An instance with the full part at once after each start, and a part that grows as soon as others stop. */
    @Test
    void findsRetriesBeyondTheBudgetIfInstancesForgetWhatTheyUsed() {
        int broken = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            broken += excess(seed, true) > 0 ? 1 : 0;
        }
        assertTrue(broken > SEEDS / 4, "found on " + broken + " of " + SEEDS + " seeds");
    }

    /** Plays one seed and returns by how many retries the worst window exceeds the budget. */
    private int excess(long seed, boolean forgetful) {
        SplittableRandom random = new SplittableRandom(seed);
        listed.clear();
        List<Instance> instances = new ArrayList<>();
        int size = random.nextInt(3, 13);
        int rollStart = random.nextInt(300, 500);
        int rollGap = random.nextInt(1, 30);
        for (int i = 0; i < size; i++) {
            Instance instance = new Instance();
            instance.restartAt = rollStart + i * rollGap;
            instance.addedAt = random.nextInt(8) == 0 ? random.nextInt(STEPS) : 0;
            instance.downUntil = instance.addedAt;
            instances.add(instance);
        }
        double requestsPerStep = random.nextDouble(0.01, 0.3);
        for (int step = 0; step < STEPS; step++) {
            requests[step] = 0;
            retries[step] = 0;
            for (Instance i : instances) {
                play(i, step, requestsPerStep, random, forgetful);
            }
            listed.add((int) instances.stream().filter(i -> i.limiter != null).count());
            ticker.advance(Duration.ofMillis(STEP_MS));
        }
        return worstExcess();
    }

    private void play(Instance instance, int step, double requestsPerStep, SplittableRandom random, boolean forgetful) {
        if (step == instance.restartAt && step > instance.addedAt) {
            instance.limiter = null;
            instance.downUntil = step + random.nextInt(10, 80);
        }
        if (instance.limiter == null && step >= instance.downUntil) {
            instance.start(forgetful);
        }
        if (instance.limiter == null || listed.isEmpty()) {
            return;
        }
        instance.count.set(
                Math.max(1, listed.get(Math.max(0, listed.size() - 1 - random.nextInt(MAX_VIEW_LAG_STEPS)))));
        // Traffic begins when all instances of the start have seen each other.
        if (step > 2 * MAX_VIEW_LAG_STEPS && random.nextDouble() < requestsPerStep) {
            instance.limiter.recordRequest();
            requests[step]++;
            while (retries[step] < 10_000 && instance.limiter.tryAcquire(instance.count.get())) {
                retries[step]++;
            }
        }
    }

    private int worstExcess() {
        int worst = 0;
        for (int end = WINDOW_STEPS; end <= STEPS; end++) {
            int start = end - WINDOW_STEPS;
            int counted = Math.max(
                    sum(requests, start, end),
                    Math.max(
                            sum(requests, start - WINDOW_STEPS, start),
                            sum(requests, start - WINDOW_STEPS / 2, end - WINDOW_STEPS / 2)));
            worst = Math.max(worst, sum(retries, start, end) - (int) (RATIO * counted + SLACK));
        }
        return worst;
    }

    private static int sum(int[] values, int from, int to) {
        int sum = 0;
        for (int i = Math.max(0, from); i < to; i++) {
            sum += values[i];
        }
        return sum;
    }
}
