package org.jujuberouter.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.catalog.EngineCostModel;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against placements that make short streams or long prompts late, or that exhaust an engine's memory. */
class CallSchedulerTest {
    private static final ServiceName SERVICE = ServiceName.of("assistant");
    private static final EngineCostModel ENGINE =
            new EngineCostModel(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048);
    private static final ServiceSpec SPEC = new ServiceSpec(SERVICE, "/health", 304, 26, Optional.of(ENGINE));

    private final ManualTicker ticker = ManualTicker.atZero();
    private final EndpointRegistry registry = EndpointRegistry.empty(ticker);
    private final CallScheduler scheduler = CallScheduler.on(registry, ticker);
    private int callCount;

    @BeforeEach
    void passPeerDiscovery() {
        ticker.advance(Duration.ofSeconds(2));
    }

    private void registerEngines(int count) {
        for (int i = 0; i < count; i++) {
            registry.register(engine(i, 0));
        }
    }

    private static Endpoint engine(int i, long coldMs) {
        return engine(i, 11, coldMs);
    }

    private static Endpoint engine(int i, int slots, long coldMs) {
        return new Endpoint(
                EndpointId.of("e" + i),
                SERVICE,
                new InetSocketAddress("10.0.0." + (i + 1), 80),
                FailureDomain.of("z" + i % 3),
                slots,
                false,
                coldMs,
                0);
    }

    private CallRequirements shortPrompt() {
        return new CallRequirements(RequestId.of("s" + callCount++), SERVICE, 5_000, 1_376, 300, 250, 2_000);
    }

    private CallRequirements longPrompt(long tokens) {
        return new CallRequirements(RequestId.of("l" + callCount++), SERVICE, tokens, 700, 2_500, 1_000, 10_000);
    }

    private PlacementDecision.Send send(CallRequirements call) {
        PlacementDecision.Send send = assertInstanceOf(
                PlacementDecision.Send.class, scheduler.place(call, SPEC, Set.of(), 0), "placement of " + call);
        registry.allocate(send.allocations());
        return send;
    }

    /** A burst of short prompts arrives while a long one is being prefilled. */
    @Test
    void placesShortPromptsOnEnginesThatPrefillNoLongPrompt() {
        registerEngines(6);
        Set<EndpointId> prefilling = new HashSet<>();
        PlacementDecision.Send longCall = send(longPrompt(133_000));
        longCall.allocations().forEach(a -> prefilling.add(a.endpoint()));
        for (int i = 0; i < 12; i++) {
            ticker.advance(Duration.ofMillis(30));
            CallRequirements call = shortPrompt();
            EndpointId at = send(call).endpoint().registration().id();
            assertFalse(prefilling.contains(at), "short prompt on the engine of the long one: " + at);
            registry.prefillDone(call.id());
        }
    }

    /** A long prompt arrives while short streams are being decoded. */
    @Test
    void doesNotPrefillALongPromptOnAnEngineWithShortStreams() {
        registerEngines(6);
        Set<EndpointId> decoding = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            CallRequirements call = shortPrompt();
            decoding.add(send(call).endpoint().registration().id());
            registry.prefillDone(call.id());
        }
        assertTrue(decoding.size() < 4, "engines used for short prompts: " + decoding);
        for (Allocation a : send(longPrompt(133_000)).allocations()) {
            assertFalse(decoding.contains(a.endpoint()));
        }
    }

    /** A prompt is larger than the memory of an engine. */
    @Test
    void splitsAPromptThatFitsNoEngineAndReservesItsMemory() {
        registerEngines(8);
        PlacementDecision.Send send = assertInstanceOf(
                PlacementDecision.Send.class, scheduler.place(longPrompt(405_000), SPEC, Set.of(), 3_000));
        assertTrue(send.reservedTokensPerEngine() > 0);
        assertTrue(send.reservedTokensPerEngine() * send.allocations().size() >= 405_700);
        assertTrue(send.reservedTokensPerEngine() < 232_000);
    }

    @Test
    void waitsWhileMemoryForALargePromptIsNotFree() {
        registerEngines(2);
        for (int i = 0; i < 2; i++) {
            CallRequirements call = longPrompt(200_000);
            PlacementDecision.Send sent =
                    assertInstanceOf(PlacementDecision.Send.class, scheduler.place(call, SPEC, Set.of(), 3_000));
            registry.allocate(sent.allocations());
            ticker.advance(Duration.ofSeconds(4));
            registry.prefillDone(call.id());
        }
        assertInstanceOf(PlacementDecision.Wait.class, scheduler.place(longPrompt(405_000), SPEC, Set.of(), 0));
    }

    /** A single engine would miss the objective of a long prompt. */
    @Test
    void splitsAPromptThatOneEngineWouldPrefillTooSlowly() {
        registerEngines(8);
        assertTrue(ENGINE.prefillMs(190_000) > 2_500);
        assertTrue(send(longPrompt(190_000)).allocations().size() > 1);
        assertEquals(1, send(longPrompt(30_000)).allocations().size());
    }

    /** Parts that an engine prefills for later prompts delay the prompt that it is prefilling. */
    @Test
    void doesNotPrefillPartsAheadOfAPromptThatWouldBecomeLate() {
        registerEngines(6);
        CallRequirements early = longPrompt(170_000);
        PlacementDecision.Send first = send(early);
        Set<EndpointId> prefilling = new HashSet<>();
        first.allocations().forEach(a -> prefilling.add(a.endpoint()));
        ticker.advance(Duration.ofMillis(100));
        for (Allocation a : send(longPrompt(190_000)).allocations()) {
            assertFalse(prefilling.contains(a.endpoint()), "a part is prefilled ahead on " + a.endpoint());
        }
    }

    /** Two instances split a prompt each over the same engines before they learn of each other's allocations. */
    @Test
    void splitsSoThatTwoConcurrentPromptsDoNotMakeStreamsLate() {
        registerEngines(12);
        for (int i = 0; i < 24; i++) {
            CallRequirements call = shortPrompt();
            registry.allocate(List.of(new Allocation(
                    call.id(), EndpointId.of("e" + i % 12), true, 0, 6_376, 300, 250, call.onTimeGain())));
        }
        if (scheduler.place(longPrompt(95_000), SPEC, Set.of(), 0) instanceof PlacementDecision.Send send) {
            double partMs = send.allocations().getFirst().prefillMs();
            double iterationMs = ENGINE.decodeIterationMs(3, 3 * 6_376);
            assertTrue(
                    iterationMs + 2 * partMs <= 250,
                    "two parts of " + partMs + " ms with an iteration of " + iterationMs + " ms");
        }
    }

    /** All endpoints of a service fail occasionally. */
    @Test
    void triesARecentlyFailedEndpointIfAllHaveFailed() {
        registerEngines(2);
        registry.usable(SERVICE).forEach(e -> e.recordFailure(ticker.nanos()));
        assertInstanceOf(PlacementDecision.Send.class, scheduler.place(shortPrompt(), SPEC, Set.of(), 0));
        registry.usable(SERVICE).forEach(e -> e.markFull(ticker.nanos()));
        assertInstanceOf(PlacementDecision.Wait.class, scheduler.place(shortPrompt(), SPEC, Set.of(), 0));
    }

    /** The parts of a huge prompt would stall short streams on every engine. */
    @Test
    void prefillsAHugePromptOnFewEnginesRatherThanBesideAllShortStreams() {
        registerEngines(8);
        for (int i = 0; i < 40; i++) {
            CallRequirements call = shortPrompt();
            registry.allocate(List.of(new Allocation(
                    call.id(), EndpointId.of("e" + i % 5), true, 0, 6_376, 300, 250, call.onTimeGain())));
        }
        PlacementDecision.Send send = assertInstanceOf(
                PlacementDecision.Send.class, scheduler.place(longPrompt(560_000), SPEC, Set.of(), 3_000));
        assertEquals(3, send.allocations().size(), "engines that prefill it");
    }

    /** A burst of short prompts arrives while long ones are being prefilled. */
    @Test
    void keepsAFifthOfTheEnginesFreeOfLongPrompts() {
        registerEngines(10);
        Set<EndpointId> prefilling = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            if (scheduler.place(longPrompt(150_000), SPEC, Set.of(), 0) instanceof PlacementDecision.Send send) {
                registry.allocate(send.allocations());
                send.allocations().forEach(a -> prefilling.add(a.endpoint()));
            }
        }
        assertTrue(prefilling.size() <= 8, "engines that prefill long prompts: " + prefilling);
        assertFalse(prefilling.contains(
                send(shortPrompt()).endpoint().registration().id()));
    }

    /** A short prompt arrives while all engines are busy. */
    @Test
    void doesNotSplitAShortPrompt() {
        registerEngines(4);
        for (int i = 0; i < 4; i++) {
            registry.allocate(List.of(new Allocation(
                    RequestId.of("busy" + i), EndpointId.of("e" + i), true, 900, 100_000, 2_500, 1_500, 8)));
        }
        PlacementDecision.Send send =
                assertInstanceOf(PlacementDecision.Send.class, scheduler.place(shortPrompt(), SPEC, Set.of(), 300));
        assertEquals(1, send.allocations().size());
    }

    /** In an overload of short prompts, a late one would lengthen the gaps of streams that are on time. */
    @Test
    void doesNotMakeStreamsLateForACallThatIsLateInAnyCase() {
        registerEngines(1);
        registry.allocate(List.of(
                new Allocation(RequestId.of("stream"), EndpointId.of("e0"), true, 60, 6_000, 300, 150, 1),
                new Allocation(RequestId.of("other"), EndpointId.of("e0"), true, 60, 6_000, 300, 150, 1)));
        assertInstanceOf(PlacementDecision.Wait.class, scheduler.place(shortPrompt(), SPEC, Set.of(), 300));
        ticker.advance(Duration.ofMillis(200));
        assertInstanceOf(PlacementDecision.Send.class, scheduler.place(shortPrompt(), SPEC, Set.of(), 500));
    }

    /** An overload of short prompts lasts longer than the callers' timeout. */
    @Test
    void refusesACallBeforeItsCallerTimesOutWithARetryDelay() {
        registerEngines(1);
        for (int i = 0; i < 11; i++) {
            registry.allocate(
                    List.of(new Allocation(RequestId.of("w" + i), EndpointId.of("e0"), true, 0, 6_000, 300, 250, 1)));
        }
        assertInstanceOf(PlacementDecision.Wait.class, scheduler.place(shortPrompt(), SPEC, Set.of(), 1_000));
        PlacementDecision.Refuse refuse =
                assertInstanceOf(PlacementDecision.Refuse.class, scheduler.place(shortPrompt(), SPEC, Set.of(), 1_300));
        // A third of the 700 ms that the caller still waits.
        assertTrue(refuse.retryAfterMs() > 0 && refuse.retryAfterMs() <= 233, "after " + refuse.retryAfterMs());
        registry.release(RequestId.of("w0"));
        assertInstanceOf(
                PlacementDecision.Wait.class,
                scheduler.place(shortPrompt(), SPEC, Set.of(), 1_300),
                "a late call leaves a slot to others while it can still be served");
        ticker.advance(Duration.ofMillis(31));
        assertInstanceOf(
                PlacementDecision.Send.class, scheduler.place(shortPrompt(), SPEC, Set.of(), 1_331), "a slot is free");
    }

    /** A long prompt arrives while the only engine decodes a short stream of lower value. */
    @Test
    void waitsForAPlacementWithoutCostWhileTheCallCanStillBeOnTime() {
        registerEngines(1);
        registry.allocate(List.of(new Allocation(RequestId.of("s"), EndpointId.of("e0"), true, 0, 6_000, 300, 250, 1)));
        assertInstanceOf(PlacementDecision.Wait.class, scheduler.place(longPrompt(90_000), SPEC, Set.of(), 0));
        CallRequirements call = longPrompt(90_000);
        // It needs 1,073 ms on the engine, and 85% of its objective may be planned.
        assertInstanceOf(PlacementDecision.Send.class, scheduler.place(call, SPEC, Set.of(), 2_125 - 1_080));
    }

    /** In an overload of short prompts, each instance has calls that are late and calls that can still be on time. */
    @Test
    void leavesAFreedSlotToCallsThatCanStillBeOnTime() {
        registerEngines(1);
        for (int i = 0; i < 11; i++) {
            registry.allocate(
                    List.of(new Allocation(RequestId.of("w" + i), EndpointId.of("e0"), true, 0, 6_000, 300, 250, 1)));
        }
        registry.release(RequestId.of("w0"));
        assertInstanceOf(
                PlacementDecision.Wait.class, scheduler.place(shortPrompt(), SPEC, Set.of(), 400), "already late");
        assertInstanceOf(
                PlacementDecision.Send.class, scheduler.place(shortPrompt(), SPEC, Set.of(), 50), "not late yet");
        ticker.advance(Duration.ofMillis(31));
        assertInstanceOf(
                PlacementDecision.Send.class,
                scheduler.place(shortPrompt(), SPEC, Set.of(), 431),
                "no other call took it");
    }

    /**
     * All instances start together, and all callers reconnect before any instance has received another's allocations.
     */
    @Test
    void spreadsCallsOfInstancesThatHaveNotDiscoveredEachOther() {
        ticker.advance(Duration.ofSeconds(60));
        Map<EndpointId, Integer> callsByEndpoint = new HashMap<>();
        for (int instance = 0; instance < 6; instance++) {
            EndpointRegistry ownRegistry = EndpointRegistry.empty(ticker);
            for (int i = 0; i < 13; i++) {
                ownRegistry.register(engine(i, 0));
            }
            CallScheduler ownScheduler = CallScheduler.on(ownRegistry, ticker);
            for (int i = 0; i < 6; i++) {
                PlacementDecision.Send sent = assertInstanceOf(
                        PlacementDecision.Send.class, ownScheduler.place(shortPrompt(), SPEC, Set.of(), 0));
                ownRegistry.allocate(sent.allocations());
                callsByEndpoint.merge(sent.endpoint().registration().id(), 1, Integer::sum);
            }
        }
        int most = callsByEndpoint.values().stream().max(Integer::compare).orElseThrow();
        double lastFirstEventMs = most * ENGINE.prefillMs(5_000) + ENGINE.decodeIterationMs(most, most * 6_376L);
        assertTrue(
                lastFirstEventMs <= 300,
                most + " calls on one engine, the last one answered after " + lastFirstEventMs + " ms");
    }

    /** A late call arrives while most slots are free. */
    @Test
    void doesNotYieldWhileManySlotsAreFree() {
        registerEngines(1);
        send(shortPrompt());
        CallRequirements other = shortPrompt();
        send(other);
        registry.release(other.id());
        ticker.advance(Duration.ofMillis(10));
        assertInstanceOf(PlacementDecision.Send.class, scheduler.place(shortPrompt(), SPEC, Set.of(), 400));
    }

    /** An engine processes calls that this instance does not know of, or is slower than its cost model. */
    @Test
    void avoidsAnEngineWhoseFirstEventsAreLaterThanPredicted() {
        registerEngines(3);
        EndpointId slow = send(shortPrompt()).endpoint().registration().id();
        registry.find(slow).orElseThrow().recordFirstEventDelay(800, ticker.nanos());
        for (int i = 0; i < 5; i++) {
            assertFalse(send(shortPrompt()).endpoint().registration().id().equals(slow));
        }
        ticker.advance(Duration.ofSeconds(8));
        assertTrue(registry.find(slow).orElseThrow().expectedDelayMs(ticker.nanos()) < 20, "the engine is tried again");
    }

    /** A cold endpoint registers during a burst. */
    @Test
    void limitsTheCallsPerSecondOfAColdEndpoint() {
        registry.register(engine(0, 10_000));
        ServiceSpec cold = new ServiceSpec(SERVICE, "/health", 304, 4, Optional.of(ENGINE));
        for (int i = 0; i < 4; i++) {
            CallRequirements call = shortPrompt();
            PlacementDecision.Send sent =
                    assertInstanceOf(PlacementDecision.Send.class, scheduler.place(call, cold, Set.of(), 1_000));
            registry.allocate(sent.allocations());
            registry.release(call.id());
        }
        assertInstanceOf(PlacementDecision.Wait.class, scheduler.place(shortPrompt(), cold, Set.of(), 1_000));
        ticker.advance(Duration.ofMillis(1_001));
        assertInstanceOf(PlacementDecision.Send.class, scheduler.place(shortPrompt(), cold, Set.of(), 1_000));
    }

    @Test
    void refusesAtOnceIfNoEndpointIsUsable() {
        assertInstanceOf(PlacementDecision.Refuse.class, scheduler.place(shortPrompt(), SPEC, Set.of(), 0));
        registerEngines(1);
        registry.setEvacuated(FailureDomain.of("z0"), true);
        assertInstanceOf(PlacementDecision.Refuse.class, scheduler.place(shortPrompt(), SPEC, Set.of(), 0));
        registry.setEvacuated(FailureDomain.of("z0"), false);
        assertInstanceOf(PlacementDecision.Send.class, scheduler.place(shortPrompt(), SPEC, Set.of(), 0));
    }

    @Test
    void sendsNothingToADrainingEndpoint() {
        Endpoint e = engine(0, 0);
        registry.register(new Endpoint(e.id(), e.service(), e.address(), e.domain(), e.slots(), true, 0, 0));
        assertInstanceOf(PlacementDecision.Refuse.class, scheduler.place(shortPrompt(), SPEC, Set.of(), 0));
    }

    /** The free slots of all engines were listed one by one, so an entry with a large number ended the process. */
    @Test
    void predictsWhenAPromptCanBePlacedBesideAnEngineThatStatesAnyNumberOfSlots() {
        for (int i = 0; i < 2; i++) {
            Endpoint engine = engine(i, Integer.MAX_VALUE, 0);
            registry.register(engine);
            RequestId running = RequestId.of("running-" + i);
            registry.allocate(List.of(new Allocation(running, engine.id(), true, 750, 150_000, 2_500, 1_000, 0)));
        }
        PlacementDecision decision = scheduler.place(longPrompt(150_000), SPEC, Set.of(), 0);
        assertFalse(decision instanceof PlacementDecision.Send, "no engine has memory for the prompt: " + decision);
    }
}
