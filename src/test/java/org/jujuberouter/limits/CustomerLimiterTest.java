package org.jujuberouter.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against customers that exceed a limit by spreading their requests over several instances. */
class CustomerLimiterTest {
    private static final LimitKey KEY = LimitKey.of(CustomerId.of("c"), ServiceName.of("s"));
    private static final long NANOS_PER_MS = 1_000_000;
    private static final double RATE = 80;
    private static final double TOKEN_RATE = 400_000;
    private static final int MAX_LONG_PROMPTS = 4;

    private final ManualTicker ticker = ManualTicker.atZero();
    private final Map<InstanceId, CustomerLimiter> limiters = new TreeMap<>();
    private final List<Long> admittedMillis = new ArrayList<>();
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>();
    private long admittedTokens;
    private int activeLong;
    private int maxActiveLong;
    private long startedLong;

    private record ScheduledEvent(long millis, long order, Runnable action) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent o) {
            return millis != o.millis ? Long.compare(millis, o.millis) : Long.compare(order, o.order);
        }
    }

    private void join(String name, LimitTree tree) {
        CustomerLimiter limiter = CustomerLimiter.of(InstanceId.of(name), ticker);
        limiter.setLimits(tree);
        limiters.put(InstanceId.of(name), limiter);
        limiters.values().forEach(member -> member.setMembers(limiters.keySet()));
    }

    private void schedule(long millis, Runnable action) {
        events.add(new ScheduledEvent(millis, events.size() + millis * 1000, action));
    }

    /** Simulates in steps of 1 ms: each instance sends a heartbeat per second, delivered within 50 ms. */
    private void run(int seconds, SplittableRandom random, java.util.function.BiConsumer<InstanceId, Long> demand) {
        long start = ticker.nanos() / NANOS_PER_MS;
        for (long ms = start; ms < start + seconds * 1000L; ms++) {
            ticker.advanceTo(ms * NANOS_PER_MS);
            while (!events.isEmpty() && events.peek().millis <= ms) {
                events.poll().action.run();
            }
            for (InstanceId id : List.copyOf(limiters.keySet())) {
                if (ms % 1000 == Math.floorMod(id.hashCode(), 1000)) {
                    DemandDigest digest = limiters.get(id).nextDigest();
                    limiters.forEach((peer, member) -> schedule(
                            ticker.nanos() / NANOS_PER_MS + 1 + random.nextInt(50), () -> member.receive(id, digest)));
                }
                demand.accept(id, ms);
            }
        }
    }

    private void request(InstanceId id, long tokens) {
        if (limiters.get(id).admit(KEY, tokens, false) instanceof LimitDecision.Admitted) {
            admittedMillis.add(ticker.millis());
            admittedTokens += tokens;
        }
    }

    /** Returns the greatest number of requests beyond the rate in any window. */
    private double maxSurplus() {
        double surplus = 0;
        double most = 0;
        long last = 0;
        for (long ms : admittedMillis) {
            surplus = Math.max(0, surplus - (ms - last) * RATE / 1000) + 1;
            most = Math.max(most, surplus);
            last = ms;
        }
        return most;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void keepsTotalRequestsWithinTheLimitWhenMembersAndDemandChange(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LimitTree tree = LimitTree.ofRoot(Limits.of(RATE, 1e12, 100));
        for (int i = 0; i < 8; i++) {
            join("i" + i, tree);
        }
        int joins = 4;
        for (int phase = 0; phase < 12; phase++) {
            int hot = random.nextInt(8);
            double skew = random.nextDouble();
            run(10, random, (id, ms) -> {
                double rate = id.value().equals("i" + hot) ? 400 * skew : 400 * (1 - skew) / 8;
                if (random.nextDouble() < rate / 1000) {
                    request(id, 1);
                }
            });
            if (phase % 3 == 0) {
                InstanceId gone = InstanceId.of("i" + random.nextInt(8));
                limiters.remove(gone);
                limiters.values().forEach(member -> member.setMembers(limiters.keySet()));
                join(gone.value(), tree);
            }
        }
        double tolerance = RATE * 2 + 8 + joins * (RATE / 32 * 3 + RATE / 16);
        assertTrue(maxSurplus() <= tolerance, maxSurplus() + " over " + tolerance);
        double used = admittedMillis.size() / (RATE * 120);
        assertTrue(used > 0.75, "only " + used + " of the limit was usable although demand is five times the limit");
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void keepsTotalTokensWithinTheLimitWithLargePrompts(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LimitTree tree = LimitTree.ofRoot(Limits.of(1e6, TOKEN_RATE, 100));
        for (int i = 0; i < 8; i++) {
            join("i" + i, tree);
        }
        run(120, random, (id, ms) -> {
            if (random.nextDouble() < 0.02) {
                request(id, random.nextInt(50) == 0 ? 1_000_000 : 4_000);
            }
        });
        double most = TOKEN_RATE * 122 + 8 * 1_000_000;
        assertTrue(admittedTokens <= most, admittedTokens + " over " + most);
        assertTrue(admittedTokens >= 0.75 * TOKEN_RATE * 120, "only " + admittedTokens);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void neverExceedsTheLimitOfConcurrentLongPrompts(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        LimitTree tree = LimitTree.ofRoot(Limits.of(1e6, 1e12, MAX_LONG_PROMPTS));
        for (int i = 0; i < 8; i++) {
            join("i" + i, tree);
        }
        int[] hot = {0};
        run(600, random, (id, ms) -> {
            if (ms % 20_000 == 0) {
                hot[0] = random.nextInt(8);
            }
            double rate = id.value().equals("i" + hot[0]) ? 1 : 0.1;
            if (random.nextDouble() < rate / 1000) {
                startLong(id, ms + 1000 + random.nextInt(10_000));
            }
        });
        assertTrue(maxActiveLong <= MAX_LONG_PROMPTS, maxActiveLong + " ran at once");
        assertTrue(startedLong > 100, "only " + startedLong + " were started in 600 s");
    }

    private void startLong(InstanceId id, long endMillis) {
        if (limiters.get(id).admit(KEY, 1, true) instanceof LimitDecision.Admitted a) {
            startedLong++;
            maxActiveLong = Math.max(maxActiveLong, ++activeLong);
            schedule(endMillis, () -> {
                a.reservation().release(0);
                activeLong--;
            });
        }
    }

    @Test
    void refusesWithTheNameOfTheLimitAndATimeAfterWhichARetrySucceeds() {
        join("i0", LimitTree.ofRoot(Limits.of(10, 1000, 1)));
        CustomerLimiter limiter = limiters.get(InstanceId.of("i0"));
        LimitDecision first = limiter.admit(KEY, 5000, true);
        LimitReservation reservation =
                assertInstanceOf(LimitDecision.Admitted.class, first).reservation();
        var refused = assertInstanceOf(LimitDecision.Refused.class, limiter.admit(KEY, 1, false));
        assertEquals(LimitName.TOKENS, refused.limit());
        ticker.advance(refused.retryAfter().plusNanos(1));
        var second = assertInstanceOf(LimitDecision.Refused.class, limiter.admit(KEY, 1, true));
        assertEquals(LimitName.LONG_PROMPTS, second.limit());
        reservation.release(4000);
        reservation.release(4000);
        assertInstanceOf(LimitDecision.Admitted.class, limiter.admit(KEY, 1900, true));
        limiter.setLimits(LimitTree.ofRoot(Limits.of(0, 1000, 1)));
        var third = assertInstanceOf(LimitDecision.Refused.class, limiter.admit(KEY, 1, false));
        assertEquals(LimitName.REQUESTS, third.limit());
    }

    @Test
    void inheritsEachLimitFromTheNearestLevelThatSetsIt() {
        Limits longOnly = new Limits(Optional.empty(), Optional.empty(), Optional.of(7));
        Limits rateOnly = new Limits(Optional.of(5.0), Optional.empty(), Optional.empty());
        LimitTree tree = new LimitTree(
                Limits.of(1, 2, 3), Map.of(KEY.service(), longOnly), Map.of(KEY.customer(), rateOnly), Map.of());
        assertEquals(Limits.of(5, 2, 7), tree.resolve(KEY));
    }

    @Test
    void limitsTheSizeOfTheDigest() {
        join("i0", LimitTree.ofRoot(Limits.inherited()));
        limiters.values().forEach(member -> member.setMembers(Set.of(InstanceId.of("i1"))));
        CustomerLimiter limiter = limiters.get(InstanceId.of("i0"));
        for (int i = 0; i < 700; i++) {
            limiter.admit(LimitKey.of(CustomerId.of("c" + i), ServiceName.of("s")), 1 + i, false);
        }
        ticker.advance(Duration.ofSeconds(1));
        DemandDigest digest = limiter.nextDigest();
        assertEquals(DemandDigest.MAX_ENTRIES, digest.entries().size());
        assertEquals("c699", digest.entries().getFirst().key().customer().value());
    }
}
