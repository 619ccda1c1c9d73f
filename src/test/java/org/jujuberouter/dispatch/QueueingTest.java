package org.jujuberouter.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jujuberouter.catalog.DomainNetwork;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.catalog.EngineCostModel;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/** Guards against calls that are held although they can't be served, and rejected although they can. */
class QueueingTest {
    private static final ServiceName SERVICE = DomainSimulation.SERVICE;
    private static final ServiceSpec SPEC = DomainSimulation.service(DomainNetwork.unknown());
    private static final EngineCostModel ENGINE = SPEC.engine().orElseThrow();
    private static final int SEEDS = 200;

    private final ManualTicker ticker = ManualTicker.atZero();
    private final EndpointRegistry registry = EndpointRegistry.empty(ticker);
    private final CallCounts ahead = new CallCounts();
    private final CallScheduler scheduler = CallScheduler.on(registry, ticker).behind(ahead);
    private final CallScheduler reserving =
            CallScheduler.on(registry, ticker, DomainPolicy.ignoringDomains(), QueueMode.RESERVED);

    private void registerEngines(int count) {
        for (int i = 0; i < count; i++) {
            registry.register(new Endpoint(
                    EndpointId.of("e" + i),
                    SERVICE,
                    new InetSocketAddress("10.0.0.1", 80),
                    FailureDomain.of("z0"),
                    11,
                    false,
                    0,
                    0));
        }
        ticker.advance(Duration.ofSeconds(2));
    }

    private static CallRequirements call(String id, long tokens, long callerTimeoutMs) {
        return tokens > 20_000
                ? new CallRequirements(RequestId.of(id), SERVICE, tokens, 700, 2_500, 1_000, callerTimeoutMs)
                : new CallRequirements(RequestId.of(id), SERVICE, tokens, 900, 300, 250, callerTimeoutMs);
    }

    private void registerFullEngines(int count) {
        registerEngines(count);
        for (int i = 0; i < count; i++) {
            for (int k = 0; k < 11; k++) {
                RequestId id = RequestId.of("e" + i + k);
                registry.allocate(List.of(new Allocation(
                        id, EndpointId.of("e" + i), true, ENGINE.prefillMs(5_000), 5_900, 300, 250, 0.75)));
                ticker.advance(Duration.ofMillis(30));
                registry.prefillDone(id);
            }
        }
    }

    private PlacementForecast forecast(CallRequirements call) {
        return assertInstanceOf(PlacementDecision.Wait.class, scheduler.place(call, SPEC, Set.of(), 0))
                .forecast();
    }

    /** All slots are taken: the first stream ends after 21 iterations of 43 steps at the latest. */
    @Test
    void predictsWhenASlotIsFreedAndWhenTheCallsAheadHaveTakenOne() {
        registerFullEngines(1);
        double streamMs = 21 * ENGINE.decodeIterationMs(11, 11 * 5_900);
        PlacementForecast first = forecast(call("s", 5_000, 4_000));
        assertTrue(first.earliestMs() < streamMs - 330 && first.latestMs() >= streamMs - 330, first + ", " + streamMs);
        assertTrue(first.latestMs() < 2 * streamMs, first + ", " + streamMs);
        for (int i = 0; i < 5; i++) {
            ahead.add(call("a" + i, 5_000, 4_000));
        }
        PlacementForecast sixth = forecast(call("t", 5_000, 4_000));
        assertEquals(150, sixth.earliestMs() - first.earliestMs(), 1, "five slots later, one each 30 ms");
        assertEquals(150, sixth.latestMs() - first.latestMs(), 1);
    }

    /** A prompt whose caller leaves before any engine could answer it must not be held for most of that time. */
    @Test
    void rejectsAtOnceWhatCannotBeServedBeforeItsDeadline() {
        registerFullEngines(2);
        assertTrue(forecast(call("kept", 300_000, 10_000)).firstEventMs() < 10_000);
        PlacementDecision.Refuse refuse = assertInstanceOf(
                PlacementDecision.Refuse.class, scheduler.place(call("big", 300_000, 3_000), SPEC, Set.of(), 0));
        assertEquals("cannot be served before its deadline: no free slot", refuse.reason());
        assertTrue(refuse.retryAfterMs() <= 1_000, "a third of 3 s: " + refuse.retryAfterMs());
    }

    /** On call, a rejection for lack of memory must not look like one for lack of slots. */
    @Test
    void namesTheMemoryOrTheEnginesThatARejectedCallLacks() {
        registerEngines(2);
        for (int i = 0; i < 2; i++) {
            registry.allocate(List.of(new Allocation(
                    RequestId.of("l" + i),
                    EndpointId.of("e" + i),
                    true,
                    ENGINE.prefillMs(99_000),
                    99_700,
                    2_500,
                    0,
                    5)));
        }
        assertEquals(
                "cannot be served before its deadline: no memory for 150351 tokens on 2 engine(s)", reason(300_000));
        assertEquals("cannot be served before its deadline: needs 3 engines", reason(600_000));
    }

    private String reason(long tokens) {
        return assertInstanceOf(
                        PlacementDecision.Refuse.class,
                        scheduler.place(call("c" + tokens, tokens, 1_000), SPEC, Set.of(), 0))
                .reason();
    }

    /** Callers that are rejected at once must not return at once. */
    @Test
    void spreadsReturningCallersAtTheRateOfFreedCapacityTheMostValuableFirst() {
        RetrySpread spread = new RetrySpread();
        List<Long> returns = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            returns.add(spread.retryAfterMs(100, 20, 1, 10_000, i, 0));
        }
        assertEquals(List.of(100L, 120L, 140L, 160L, 180L), returns);
        assertEquals(100, spread.retryAfterMs(100, 20, 2, 10_000, 0, 0), "a more valuable call");
        for (int i = 0; i < 1_000; i += 7) {
            long ms = spread.retryAfterMs(100, 20, 1, 240, i, 0);
            assertTrue(ms >= 40 && ms <= 80, "at most a third of 240 ms: " + ms);
        }
    }

    /** A large prompt needs two engines whose memory short calls would otherwise take as soon as it is freed. */
    @Test
    void keepsEnginesForALargePromptUntilItEnds() {
        registerFullEngines(8);
        CallRequirements large = call("large", 300_000, 10_000);
        assertInstanceOf(PlacementDecision.Wait.class, reserving.place(large, SPEC, Set.of(), 0));
        assertInstanceOf(
                PlacementDecision.Wait.class,
                reserving.place(call("second", 300_000, 10_000), SPEC, Set.of(), 0),
                "at most two of eight engines are kept");
        for (int i = 0; i < 8; i++) {
            registry.release(RequestId.of("e" + i + "0"));
        }
        Set<EndpointId> taken = new HashSet<>();
        while (reserving.place(call("s" + taken.size(), 5_000, 2_000), SPEC, Set.of(), 0)
                instanceof PlacementDecision.Send send) {
            registry.allocate(send.allocations());
            taken.add(send.endpoint().registration().id());
        }
        assertEquals(6, taken.size(), "engines that short calls take: " + taken);
        assertEquals(1, reserving.reservations().made());
        assertInstanceOf(
                PlacementDecision.Refuse.class, reserving.place(large, SPEC, Set.of(), 9_900), "it ends as rejected");
        assertInstanceOf(
                PlacementDecision.Send.class, reserving.place(call("t", 5_000, 2_000), SPEC, Set.of(), 0), "released");
        assertEquals(1, reserving.reservations().released());
    }

    /** A caller disconnects while engines are kept for its call, which is not tried again. */
    @Test
    void endsAReservationWhoseCallIsNotTriedAgain() {
        registerFullEngines(8);
        assertInstanceOf(
                PlacementDecision.Wait.class, reserving.place(call("large", 300_000, 10_000), SPEC, Set.of(), 0));
        ticker.advance(Duration.ofMillis(301));
        reserving.place(call("s", 5_000, 2_000), SPEC, Set.of(), 0);
        assertEquals(1, reserving.reservations().released());
        assertEquals(0, reserving.reservations().used());
    }

    /**
     * Short calls arrive at 0.9 of capacity. A large prompt is placed within the time of a short call's answer on an engine
     * whose slots and memory are all in use, and the gap objective of a long prompt's stream that is being prefilled.
     */
    @Test
    void placesALargePromptWithinABoundedTimeUnderContinuousLoad() {
        double boundMs = 21 * ENGINE.decodeIterationMs(11, 232_000) + 1_000;
        double[] longestMs = new double[QueueMode.values().length];
        for (QueueMode mode : List.of(QueueMode.PREDICTED, QueueMode.RESERVED)) {
            for (long seed = 0; seed < SEEDS; seed++) {
                DomainSimulation s =
                        new DomainSimulation(seed, DomainMode.ANY, mode, 1, 12, 0.02, 0.0015, 70).run(6_000);
                for (DomainSimulation.Call c : s.calls) {
                    if (c.requirements.promptTokens() >= 260_000) {
                        double waitedMs = Double.isNaN(c.placedMs) ? 10_000 : c.placedMs - c.arrivedMs;
                        longestMs[mode.ordinal()] = Math.max(longestMs[mode.ordinal()], waitedMs);
                    }
                }
            }
        }
        String figures = "longest wait with reservations " + longestMs[QueueMode.RESERVED.ordinal()] + ", without "
                + longestMs[QueueMode.PREDICTED.ordinal()];
        assertTrue(longestMs[QueueMode.RESERVED.ordinal()] <= boundMs, figures);
        assertTrue(longestMs[QueueMode.PREDICTED.ordinal()] > boundMs, figures + ": the load shows no difference");
    }

    /** Summed value under normal load, near capacity and in overload, and engines idle beside rejected calls. */
    @Test
    void losesNoValueToRejectionByAgeAndRejectsNothingBesideAnIdleEngine() {
        double[] rates = {15, 35, 50};
        double[][] value = new double[2][rates.length];
        int[] beside = new int[2];
        for (QueueMode mode : List.of(QueueMode.BY_AGE, QueueMode.PREDICTED)) {
            for (int i = 0; i < rates.length; i++) {
                for (long seed = 0; seed < SEEDS; seed++) {
                    DomainSimulation s =
                            new DomainSimulation(seed, DomainMode.ANY, mode, 3, 5, 0.02, 0.005, rates[i]).run(6_000);
                    value[mode.ordinal()][i] += s.calls.stream()
                            .mapToDouble(DomainSimulation.Call::value)
                            .sum();
                    beside[mode.ordinal()] += s.rejectedBesideIdleEngine;
                }
            }
        }
        String figures = List.of(value[0][0], value[0][1], value[0][2]) + " by age, "
                + List.of(value[1][0], value[1][1], value[1][2]) + " predicted; rejected beside an idle engine: "
                + beside[0] + ", " + beside[1];
        assertEquals(0, beside[QueueMode.PREDICTED.ordinal()], figures);
        for (int i = 0; i < rates.length; i++) {
            assertTrue(value[1][i] >= value[0][i], figures);
        }
        assertTrue(value[1][2] > value[0][2], figures);
    }
}
