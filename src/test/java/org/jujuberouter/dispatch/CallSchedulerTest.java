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

/** Guards against loads that make short streams late, long prompts late, or memory run out. */
class CallSchedulerTest {
    private static final ServiceName SERVICE = ServiceName.of("assistant");
    private static final EngineCostModel ENGINE =
            new EngineCostModel(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048);
    private static final ServiceSpec SPEC = new ServiceSpec(SERVICE, "/health", 304, 26, Optional.of(ENGINE));

    private final ManualTicker ticker = ManualTicker.atZero();
    private final EndpointRegistry fleet = EndpointRegistry.empty(ticker);
    private final CallScheduler placer = CallScheduler.on(fleet, ticker);
    private int calls;

    @BeforeEach
    void meetPeers() {
        ticker.advance(Duration.ofSeconds(2));
    }

    private void engines(int count) {
        for (int i = 0; i < count; i++) {
            fleet.register(engine(i, 0));
        }
    }

    private static Endpoint engine(int i, long coldMs) {
        return new Endpoint(
                EndpointId.of("e" + i),
                SERVICE,
                new InetSocketAddress("10.0.0." + (i + 1), 80),
                FailureDomain.of("z" + i % 3),
                11,
                false,
                coldMs,
                0);
    }

    private CallRequirements shortPrompt() {
        return new CallRequirements(RequestId.of("s" + calls++), SERVICE, 5_000, 1_376, 300, 250, 2_000);
    }

    private CallRequirements longPrompt(long tokens) {
        return new CallRequirements(RequestId.of("l" + calls++), SERVICE, tokens, 700, 2_500, 1_000, 10_000);
    }

    private PlacementDecision.Send send(CallRequirements demand) {
        PlacementDecision.Send send = assertInstanceOf(
                PlacementDecision.Send.class, placer.place(demand, SPEC, Set.of(), 0), "placement of " + demand);
        fleet.allocate(send.allocations());
        return send;
    }

    /** Pattern: a burst of short prompts beside long ones that are being read. */
    @Test
    void keepsShortPromptsAwayFromEnginesThatReadALongOne() {
        engines(6);
        Set<EndpointId> reading = new HashSet<>();
        PlacementDecision.Send longOne = send(longPrompt(133_000));
        longOne.allocations().forEach(w -> reading.add(w.endpoint()));
        for (int i = 0; i < 12; i++) {
            ticker.advance(Duration.ofMillis(30));
            CallRequirements demand = shortPrompt();
            EndpointId at = send(demand).endpoint().registration().id();
            assertFalse(reading.contains(at), "short prompt beside the long one at " + at);
            fleet.prefillDone(demand.id());
        }
    }

    /** Pattern: a long prompt arrives while short streams write. */
    @Test
    void doesNotReadALongPromptOnAnEngineWithShortStreams() {
        engines(6);
        Set<EndpointId> writing = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            CallRequirements demand = shortPrompt();
            writing.add(send(demand).endpoint().registration().id());
            fleet.prefillDone(demand.id());
        }
        assertTrue(writing.size() < 4, "short prompts leave engines free for long ones: " + writing);
        for (Allocation w : send(longPrompt(133_000)).allocations()) {
            assertFalse(writing.contains(w.endpoint()));
        }
    }

    /** Pattern: prompts larger than one engine's memory. */
    @Test
    void dividesAPromptThatFitsNoEngineAndReservesItsMemory() {
        engines(8);
        PlacementDecision.Send send = assertInstanceOf(
                PlacementDecision.Send.class, placer.place(longPrompt(405_000), SPEC, Set.of(), 3_000));
        assertTrue(send.reservedTokensPerEngine() > 0);
        assertTrue(send.reservedTokensPerEngine() * send.allocations().size() >= 405_700);
        assertTrue(send.reservedTokensPerEngine() < 232_000);
    }

    @Test
    void waitsWhileMemoryForALargePromptIsNotFree() {
        engines(2);
        for (int i = 0; i < 2; i++) {
            CallRequirements demand = longPrompt(200_000);
            PlacementDecision.Send sent =
                    assertInstanceOf(PlacementDecision.Send.class, placer.place(demand, SPEC, Set.of(), 3_000));
            fleet.allocate(sent.allocations());
            ticker.advance(Duration.ofSeconds(4));
            fleet.prefillDone(demand.id());
        }
        assertInstanceOf(PlacementDecision.Wait.class, placer.place(longPrompt(405_000), SPEC, Set.of(), 0));
    }

    /** Pattern: a prompt whose objective a single engine would miss. */
    @Test
    void readsAPromptInPartsWhenOneEngineWouldBeLate() {
        engines(8);
        assertTrue(ENGINE.prefillMs(190_000) > 2_500);
        assertTrue(send(longPrompt(190_000)).allocations().size() > 1);
        assertEquals(1, send(longPrompt(30_000)).allocations().size());
    }

    /** Pattern: parts read for later prompts delay a prompt that is being read. */
    @Test
    void doesNotReadPartsAheadOfAPromptThatWouldBecomeLate() {
        engines(6);
        CallRequirements early = longPrompt(170_000);
        PlacementDecision.Send first = send(early);
        Set<EndpointId> reading = new HashSet<>();
        first.allocations().forEach(w -> reading.add(w.endpoint()));
        ticker.advance(Duration.ofMillis(100));
        for (Allocation w : send(longPrompt(190_000)).allocations()) {
            assertFalse(reading.contains(w.endpoint()), "a part is read ahead at " + w.endpoint());
        }
    }

    /** Pattern: two instances divide a prompt each over the same engines before they hear of each other. */
    @Test
    void dividesSoThatTwoAtTheSameMomentDoNotMakeTheStreamsThereLate() {
        engines(12);
        for (int i = 0; i < 24; i++) {
            CallRequirements demand = shortPrompt();
            fleet.allocate(List.of(new Allocation(
                    demand.id(), EndpointId.of("e" + i % 12), true, 0, 6_376, 300, 250, demand.onTimeGain())));
        }
        if (placer.place(longPrompt(95_000), SPEC, Set.of(), 0) instanceof PlacementDecision.Send send) {
            double part = send.allocations().getFirst().prefillMs();
            double pass = ENGINE.decodeIterationMs(3, 3 * 6_376);
            assertTrue(pass + 2 * part <= 250, "two parts of " + part + " ms beside a pass of " + pass + " ms");
        }
    }

    /** Pattern: all endpoints of a service answer with errors now and then. */
    @Test
    void triesAnEndpointThatFailedLatelyWhereAllHave() {
        engines(2);
        fleet.usable(SERVICE).forEach(e -> e.recordFailure(ticker.nanos()));
        assertInstanceOf(PlacementDecision.Send.class, placer.place(shortPrompt(), SPEC, Set.of(), 0));
        fleet.usable(SERVICE).forEach(e -> e.markFull(ticker.nanos()));
        assertInstanceOf(PlacementDecision.Wait.class, placer.place(shortPrompt(), SPEC, Set.of(), 0));
    }

    /** Pattern: a huge prompt whose parts would stop every engine while short streams write. */
    @Test
    void readsAHugePromptOnFewEnginesRatherThanBesideAllShortStreams() {
        engines(8);
        for (int i = 0; i < 40; i++) {
            CallRequirements demand = shortPrompt();
            fleet.allocate(List.of(new Allocation(
                    demand.id(), EndpointId.of("e" + i % 5), true, 0, 6_376, 300, 250, demand.onTimeGain())));
        }
        PlacementDecision.Send send = assertInstanceOf(
                PlacementDecision.Send.class, placer.place(longPrompt(560_000), SPEC, Set.of(), 3_000));
        assertEquals(3, send.allocations().size(), "engines that read it");
    }

    /** Pattern: the number of short prompts jumps while long ones are read. */
    @Test
    void keepsAFifthOfTheEnginesFreeOfLongPrompts() {
        engines(10);
        Set<EndpointId> reading = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            if (placer.place(longPrompt(150_000), SPEC, Set.of(), 0) instanceof PlacementDecision.Send send) {
                fleet.allocate(send.allocations());
                send.allocations().forEach(w -> reading.add(w.endpoint()));
            }
        }
        assertTrue(reading.size() <= 8, "engines that read long prompts: " + reading);
        assertFalse(
                reading.contains(send(shortPrompt()).endpoint().registration().id()));
    }

    /** Pattern: short prompts while all engines are busy. */
    @Test
    void readsAShortPromptOnOneEngineAlone() {
        engines(4);
        for (int i = 0; i < 4; i++) {
            fleet.allocate(List.of(new Allocation(
                    RequestId.of("busy" + i), EndpointId.of("e" + i), true, 900, 100_000, 2_500, 1_500, 8)));
        }
        PlacementDecision.Send send =
                assertInstanceOf(PlacementDecision.Send.class, placer.place(shortPrompt(), SPEC, Set.of(), 300));
        assertEquals(1, send.allocations().size());
    }

    /** Pattern: an overload of short prompts; a late one would lengthen the pauses of streams that are on time. */
    @Test
    void doesNotMakeStreamsLateForACallThatIsLateInAnyCase() {
        engines(1);
        fleet.allocate(List.of(
                new Allocation(RequestId.of("stream"), EndpointId.of("e0"), true, 60, 6_000, 300, 150, 1),
                new Allocation(RequestId.of("other"), EndpointId.of("e0"), true, 60, 6_000, 300, 150, 1)));
        assertInstanceOf(PlacementDecision.Wait.class, placer.place(shortPrompt(), SPEC, Set.of(), 300));
        ticker.advance(Duration.ofMillis(200));
        assertInstanceOf(PlacementDecision.Send.class, placer.place(shortPrompt(), SPEC, Set.of(), 500));
    }

    /** Pattern: an overload of short prompts that lasts longer than callers wait. */
    @Test
    void refusesACallBeforeItsCallerLeavesWithAMomentToComeBack() {
        engines(1);
        for (int i = 0; i < 11; i++) {
            fleet.allocate(
                    List.of(new Allocation(RequestId.of("w" + i), EndpointId.of("e0"), true, 0, 6_000, 300, 250, 1)));
        }
        assertInstanceOf(PlacementDecision.Wait.class, placer.place(shortPrompt(), SPEC, Set.of(), 1_000));
        PlacementDecision.Refuse refuse =
                assertInstanceOf(PlacementDecision.Refuse.class, placer.place(shortPrompt(), SPEC, Set.of(), 1_300));
        assertTrue(refuse.retryAfterMs() >= 500 && refuse.retryAfterMs() <= 3_000, "after " + refuse.retryAfterMs());
        fleet.release(RequestId.of("w0"));
        assertInstanceOf(
                PlacementDecision.Send.class, placer.place(shortPrompt(), SPEC, Set.of(), 1_300), "a place is free");
    }

    /** Pattern: a long prompt arrives while a short stream, worth less than it, writes on the only engine. */
    @Test
    void waitsForAPlaceWithoutLossWhileTheCallCanStillBeOnTime() {
        engines(1);
        fleet.allocate(List.of(new Allocation(RequestId.of("s"), EndpointId.of("e0"), true, 0, 6_000, 300, 250, 1)));
        assertInstanceOf(PlacementDecision.Wait.class, placer.place(longPrompt(90_000), SPEC, Set.of(), 0));
        CallRequirements demand = longPrompt(90_000);
        // It needs 1,073 ms there, and 85 of 100 parts of its objective may be planned.
        assertInstanceOf(PlacementDecision.Send.class, placer.place(demand, SPEC, Set.of(), 2_125 - 1_080));
    }

    /** Pattern: an overload of short prompts; each instance has calls that are late and calls that are not. */
    @Test
    void leavesASlotThatBecomesFreeToCallsThatCanStillBeOnTime() {
        engines(1);
        for (int i = 0; i < 11; i++) {
            fleet.allocate(
                    List.of(new Allocation(RequestId.of("w" + i), EndpointId.of("e0"), true, 0, 6_000, 300, 250, 1)));
        }
        fleet.release(RequestId.of("w0"));
        assertInstanceOf(
                PlacementDecision.Wait.class, placer.place(shortPrompt(), SPEC, Set.of(), 400), "late already");
        assertInstanceOf(PlacementDecision.Send.class, placer.place(shortPrompt(), SPEC, Set.of(), 50), "not late yet");
        ticker.advance(Duration.ofMillis(31));
        assertInstanceOf(
                PlacementDecision.Send.class, placer.place(shortPrompt(), SPEC, Set.of(), 431), "nobody took it");
    }

    /** Pattern: all instances start together and all callers come back before any instance has heard of another's work. */
    @Test
    void spreadsCallsWhileInstancesThatHaveJustStartedHearNothingOfEachOther() {
        ticker.advance(Duration.ofSeconds(60));
        Map<EndpointId, Integer> calledAt = new HashMap<>();
        for (int instance = 0; instance < 6; instance++) {
            EndpointRegistry own = EndpointRegistry.empty(ticker);
            for (int i = 0; i < 13; i++) {
                own.register(engine(i, 0));
            }
            CallScheduler of = CallScheduler.on(own, ticker);
            for (int i = 0; i < 6; i++) {
                PlacementDecision.Send sent =
                        assertInstanceOf(PlacementDecision.Send.class, of.place(shortPrompt(), SPEC, Set.of(), 0));
                own.allocate(sent.allocations());
                calledAt.merge(sent.endpoint().registration().id(), 1, Integer::sum);
            }
        }
        int most = calledAt.values().stream().max(Integer::compare).orElseThrow();
        double lastFirstMs = most * ENGINE.prefillMs(5_000) + ENGINE.decodeIterationMs(most, most * 6_376L);
        assertTrue(lastFirstMs <= 300, most + " calls at one engine, the last answered after " + lastFirstMs + " ms");
    }

    /** Pattern: a late call while most slots are free. */
    @Test
    void givesNoWayWhereThereAreSlotsForAll() {
        engines(1);
        send(shortPrompt());
        CallRequirements other = shortPrompt();
        send(other);
        fleet.release(other.id());
        ticker.advance(Duration.ofMillis(10));
        assertInstanceOf(PlacementDecision.Send.class, placer.place(shortPrompt(), SPEC, Set.of(), 400));
    }

    /** Pattern: an engine that works on calls that nobody here sent, or slower than its model. */
    @Test
    void avoidsAnEngineWhoseFirstEventsComeLaterThanPlanned() {
        engines(3);
        EndpointId slow = send(shortPrompt()).endpoint().registration().id();
        fleet.find(slow).orElseThrow().recordFirstEventDelay(800, ticker.nanos());
        for (int i = 0; i < 5; i++) {
            assertFalse(send(shortPrompt()).endpoint().registration().id().equals(slow));
        }
        ticker.advance(Duration.ofSeconds(8));
        assertTrue(fleet.find(slow).orElseThrow().expectedDelayMs(ticker.nanos()) < 20, "is tried again");
    }

    /** Pattern: a cold endpoint comes back into a burst. */
    @Test
    void sendsAColdEndpointNoMoreThanItBearsInASecond() {
        fleet.register(engine(0, 10_000));
        ServiceSpec cold = new ServiceSpec(SERVICE, "/health", 304, 4, Optional.of(ENGINE));
        for (int i = 0; i < 4; i++) {
            CallRequirements demand = shortPrompt();
            PlacementDecision.Send sent =
                    assertInstanceOf(PlacementDecision.Send.class, placer.place(demand, cold, Set.of(), 1_000));
            fleet.allocate(sent.allocations());
            fleet.release(demand.id());
        }
        assertInstanceOf(PlacementDecision.Wait.class, placer.place(shortPrompt(), cold, Set.of(), 1_000));
        ticker.advance(Duration.ofMillis(1_001));
        assertInstanceOf(PlacementDecision.Send.class, placer.place(shortPrompt(), cold, Set.of(), 1_000));
    }

    @Test
    void refusesAtOnceWhenNoEndpointIsLeft() {
        assertInstanceOf(PlacementDecision.Refuse.class, placer.place(shortPrompt(), SPEC, Set.of(), 0));
        engines(1);
        fleet.setEvacuated(FailureDomain.of("z0"), true);
        assertInstanceOf(PlacementDecision.Refuse.class, placer.place(shortPrompt(), SPEC, Set.of(), 0));
        fleet.setEvacuated(FailureDomain.of("z0"), false);
        assertInstanceOf(PlacementDecision.Send.class, placer.place(shortPrompt(), SPEC, Set.of(), 0));
    }

    @Test
    void sendsNothingToADrainingEndpoint() {
        Endpoint e = engine(0, 0);
        fleet.register(new Endpoint(e.id(), e.service(), e.address(), e.domain(), e.slots(), true, 0, 0));
        assertInstanceOf(PlacementDecision.Refuse.class, placer.place(shortPrompt(), SPEC, Set.of(), 0));
    }
}
