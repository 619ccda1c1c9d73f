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
class PlacerTest {
    private static final ServiceName SERVICE = ServiceName.of("assistant");
    private static final EngineCostModel ENGINE =
            new EngineCostModel(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048);
    private static final ServiceSpec SPEC = new ServiceSpec(SERVICE, "/health", 304, 26, Optional.of(ENGINE));

    private final ManualTicker ticker = ManualTicker.atZero();
    private final Fleet fleet = Fleet.empty(ticker);
    private final Placer placer = Placer.on(fleet, ticker);
    private int calls;

    @BeforeEach
    void meetPeers() {
        ticker.advance(Duration.ofSeconds(2));
    }

    private void engines(int count) {
        for (int i = 0; i < count; i++) {
            fleet.put(engine(i, 0));
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

    private Demand shortPrompt() {
        return new Demand(RequestId.of("s" + calls++), SERVICE, 5_000, 1_376, 300, 250, 2_000);
    }

    private Demand longPrompt(long tokens) {
        return new Demand(RequestId.of("l" + calls++), SERVICE, tokens, 700, 2_500, 1_000, 10_000);
    }

    private Placement.Send send(Demand demand) {
        Placement.Send send = assertInstanceOf(
                Placement.Send.class, placer.place(demand, SPEC, Set.of(), 0), "placement of " + demand);
        fleet.start(send.works());
        return send;
    }

    /** Pattern: a burst of short prompts beside long ones that are being read. */
    @Test
    void keepsShortPromptsAwayFromEnginesThatReadALongOne() {
        engines(6);
        Set<EndpointId> reading = new HashSet<>();
        Placement.Send longOne = send(longPrompt(133_000));
        longOne.works().forEach(w -> reading.add(w.endpoint()));
        for (int i = 0; i < 12; i++) {
            ticker.advance(Duration.ofMillis(30));
            Demand demand = shortPrompt();
            EndpointId at = send(demand).endpoint().endpoint().id();
            assertFalse(reading.contains(at), "short prompt beside the long one at " + at);
            fleet.readDone(demand.id());
        }
    }

    /** Pattern: a long prompt arrives while short streams write. */
    @Test
    void doesNotReadALongPromptOnAnEngineWithShortStreams() {
        engines(6);
        Set<EndpointId> writing = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            Demand demand = shortPrompt();
            writing.add(send(demand).endpoint().endpoint().id());
            fleet.readDone(demand.id());
        }
        assertTrue(writing.size() < 4, "short prompts leave engines free for long ones: " + writing);
        for (Work w : send(longPrompt(133_000)).works()) {
            assertFalse(writing.contains(w.endpoint()));
        }
    }

    /** Pattern: prompts larger than one engine's memory. */
    @Test
    void dividesAPromptThatFitsNoEngineAndReservesItsMemory() {
        engines(8);
        Placement.Send send =
                assertInstanceOf(Placement.Send.class, placer.place(longPrompt(405_000), SPEC, Set.of(), 3_000));
        assertTrue(send.tokensEach() > 0);
        assertTrue(send.tokensEach() * send.works().size() >= 405_700);
        assertTrue(send.tokensEach() < 232_000);
    }

    @Test
    void waitsWhileMemoryForALargePromptIsNotFree() {
        engines(2);
        for (int i = 0; i < 2; i++) {
            Demand demand = longPrompt(200_000);
            Placement.Send sent = assertInstanceOf(Placement.Send.class, placer.place(demand, SPEC, Set.of(), 3_000));
            fleet.start(sent.works());
            ticker.advance(Duration.ofSeconds(4));
            fleet.readDone(demand.id());
        }
        assertInstanceOf(Placement.Wait.class, placer.place(longPrompt(405_000), SPEC, Set.of(), 0));
    }

    /** Pattern: a prompt whose objective a single engine would miss. */
    @Test
    void readsAPromptInPartsWhenOneEngineWouldBeLate() {
        engines(8);
        assertTrue(ENGINE.prefillMs(190_000) > 2_500);
        assertTrue(send(longPrompt(190_000)).works().size() > 1);
        assertEquals(1, send(longPrompt(30_000)).works().size());
    }

    /** Pattern: parts read for later prompts delay a prompt that is being read. */
    @Test
    void doesNotReadPartsAheadOfAPromptThatWouldBecomeLate() {
        engines(6);
        Demand early = longPrompt(170_000);
        Placement.Send first = send(early);
        Set<EndpointId> reading = new HashSet<>();
        first.works().forEach(w -> reading.add(w.endpoint()));
        ticker.advance(Duration.ofMillis(100));
        for (Work w : send(longPrompt(190_000)).works()) {
            assertFalse(reading.contains(w.endpoint()), "a part is read ahead at " + w.endpoint());
        }
    }

    /** Pattern: two instances divide a prompt each over the same engines before they hear of each other. */
    @Test
    void dividesSoThatTwoAtTheSameMomentDoNotMakeTheStreamsThereLate() {
        engines(12);
        for (int i = 0; i < 24; i++) {
            Demand demand = shortPrompt();
            fleet.start(List.of(
                    new Work(demand.id(), EndpointId.of("e" + i % 12), true, 0, 6_376, 300, 250, demand.weight())));
        }
        if (placer.place(longPrompt(95_000), SPEC, Set.of(), 0) instanceof Placement.Send send) {
            double part = send.works().getFirst().readMs();
            double pass = ENGINE.decodeIterationMs(3, 3 * 6_376);
            assertTrue(pass + 2 * part <= 250, "two parts of " + part + " ms beside a pass of " + pass + " ms");
        }
    }

    /** Pattern: all endpoints of a service answer with errors now and then. */
    @Test
    void triesAnEndpointThatFailedLatelyWhereAllHave() {
        engines(2);
        fleet.usable(SERVICE).forEach(e -> e.failed(ticker.nanos()));
        assertInstanceOf(Placement.Send.class, placer.place(shortPrompt(), SPEC, Set.of(), 0));
        fleet.usable(SERVICE).forEach(e -> e.full(ticker.nanos()));
        assertInstanceOf(Placement.Wait.class, placer.place(shortPrompt(), SPEC, Set.of(), 0));
    }

    /** Pattern: a huge prompt whose parts would stop every engine while short streams write. */
    @Test
    void readsAHugePromptOnFewEnginesRatherThanBesideAllShortStreams() {
        engines(8);
        for (int i = 0; i < 40; i++) {
            Demand demand = shortPrompt();
            fleet.start(List.of(
                    new Work(demand.id(), EndpointId.of("e" + i % 5), true, 0, 6_376, 300, 250, demand.weight())));
        }
        Placement.Send send =
                assertInstanceOf(Placement.Send.class, placer.place(longPrompt(560_000), SPEC, Set.of(), 3_000));
        assertEquals(3, send.works().size(), "engines that read it");
    }

    /** Pattern: the number of short prompts jumps while long ones are read. */
    @Test
    void keepsAFifthOfTheEnginesFreeOfLongPrompts() {
        engines(10);
        Set<EndpointId> reading = new HashSet<>();
        for (int i = 0; i < 6; i++) {
            if (placer.place(longPrompt(150_000), SPEC, Set.of(), 0) instanceof Placement.Send send) {
                fleet.start(send.works());
                send.works().forEach(w -> reading.add(w.endpoint()));
            }
        }
        assertTrue(reading.size() <= 8, "engines that read long prompts: " + reading);
        assertFalse(reading.contains(send(shortPrompt()).endpoint().endpoint().id()));
    }

    /** Pattern: short prompts while all engines are busy. */
    @Test
    void readsAShortPromptOnOneEngineAlone() {
        engines(4);
        for (int i = 0; i < 4; i++) {
            fleet.start(List.of(
                    new Work(RequestId.of("busy" + i), EndpointId.of("e" + i), true, 900, 100_000, 2_500, 1_500, 8)));
        }
        Placement.Send send = assertInstanceOf(Placement.Send.class, placer.place(shortPrompt(), SPEC, Set.of(), 300));
        assertEquals(1, send.works().size());
    }

    /** Pattern: an overload of short prompts; a late one would lengthen the pauses of streams that are on time. */
    @Test
    void doesNotMakeStreamsLateForACallThatIsLateInAnyCase() {
        engines(1);
        fleet.start(List.of(
                new Work(RequestId.of("stream"), EndpointId.of("e0"), true, 60, 6_000, 300, 150, 1),
                new Work(RequestId.of("other"), EndpointId.of("e0"), true, 60, 6_000, 300, 150, 1)));
        assertInstanceOf(Placement.Wait.class, placer.place(shortPrompt(), SPEC, Set.of(), 300));
        ticker.advance(Duration.ofMillis(200));
        assertInstanceOf(Placement.Send.class, placer.place(shortPrompt(), SPEC, Set.of(), 500));
    }

    /** Pattern: an overload of short prompts that lasts longer than callers wait. */
    @Test
    void refusesACallBeforeItsCallerLeavesWithAMomentToComeBack() {
        engines(1);
        for (int i = 0; i < 11; i++) {
            fleet.start(List.of(new Work(RequestId.of("w" + i), EndpointId.of("e0"), true, 0, 6_000, 300, 250, 1)));
        }
        assertInstanceOf(Placement.Wait.class, placer.place(shortPrompt(), SPEC, Set.of(), 1_000));
        Placement.Refuse refuse =
                assertInstanceOf(Placement.Refuse.class, placer.place(shortPrompt(), SPEC, Set.of(), 1_300));
        assertTrue(refuse.retryAfterMs() >= 500 && refuse.retryAfterMs() <= 3_000, "after " + refuse.retryAfterMs());
        fleet.end(RequestId.of("w0"));
        assertInstanceOf(Placement.Send.class, placer.place(shortPrompt(), SPEC, Set.of(), 1_300), "a place is free");
    }

    /** Pattern: a long prompt arrives while a short stream, worth less than it, writes on the only engine. */
    @Test
    void waitsForAPlaceWithoutLossWhileTheCallCanStillBeOnTime() {
        engines(1);
        fleet.start(List.of(new Work(RequestId.of("s"), EndpointId.of("e0"), true, 0, 6_000, 300, 250, 1)));
        assertInstanceOf(Placement.Wait.class, placer.place(longPrompt(90_000), SPEC, Set.of(), 0));
        Demand demand = longPrompt(90_000);
        // It needs 1,073 ms there, and 85 of 100 parts of its objective may be planned.
        assertInstanceOf(Placement.Send.class, placer.place(demand, SPEC, Set.of(), 2_125 - 1_080));
    }

    /** Pattern: an overload of short prompts; each instance has calls that are late and calls that are not. */
    @Test
    void leavesASlotThatBecomesFreeToCallsThatCanStillBeOnTime() {
        engines(1);
        for (int i = 0; i < 11; i++) {
            fleet.start(List.of(new Work(RequestId.of("w" + i), EndpointId.of("e0"), true, 0, 6_000, 300, 250, 1)));
        }
        fleet.end(RequestId.of("w0"));
        assertInstanceOf(Placement.Wait.class, placer.place(shortPrompt(), SPEC, Set.of(), 400), "late already");
        assertInstanceOf(Placement.Send.class, placer.place(shortPrompt(), SPEC, Set.of(), 50), "not late yet");
        ticker.advance(Duration.ofMillis(31));
        assertInstanceOf(Placement.Send.class, placer.place(shortPrompt(), SPEC, Set.of(), 431), "nobody took it");
    }

    /** Pattern: all instances start together and all callers come back before any instance has heard of another's work. */
    @Test
    void spreadsCallsWhileInstancesThatHaveJustStartedHearNothingOfEachOther() {
        ticker.advance(Duration.ofSeconds(60));
        Map<EndpointId, Integer> calledAt = new HashMap<>();
        for (int instance = 0; instance < 6; instance++) {
            Fleet own = Fleet.empty(ticker);
            for (int i = 0; i < 13; i++) {
                own.put(engine(i, 0));
            }
            Placer of = Placer.on(own, ticker);
            for (int i = 0; i < 6; i++) {
                Placement.Send sent =
                        assertInstanceOf(Placement.Send.class, of.place(shortPrompt(), SPEC, Set.of(), 0));
                own.start(sent.works());
                calledAt.merge(sent.endpoint().endpoint().id(), 1, Integer::sum);
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
        Demand other = shortPrompt();
        send(other);
        fleet.end(other.id());
        ticker.advance(Duration.ofMillis(10));
        assertInstanceOf(Placement.Send.class, placer.place(shortPrompt(), SPEC, Set.of(), 400));
    }

    /** Pattern: an engine that works on calls that nobody here sent, or slower than its model. */
    @Test
    void avoidsAnEngineWhoseFirstEventsComeLaterThanPlanned() {
        engines(3);
        EndpointId slow = send(shortPrompt()).endpoint().endpoint().id();
        fleet.find(slow).orElseThrow().firstEventLate(800, ticker.nanos());
        for (int i = 0; i < 5; i++) {
            assertFalse(send(shortPrompt()).endpoint().endpoint().id().equals(slow));
        }
        ticker.advance(Duration.ofSeconds(8));
        assertTrue(fleet.find(slow).orElseThrow().delayMs(ticker.nanos()) < 20, "is tried again");
    }

    /** Pattern: a cold endpoint comes back into a burst. */
    @Test
    void sendsAColdEndpointNoMoreThanItBearsInASecond() {
        fleet.put(engine(0, 10_000));
        ServiceSpec cold = new ServiceSpec(SERVICE, "/health", 304, 4, Optional.of(ENGINE));
        for (int i = 0; i < 4; i++) {
            Demand demand = shortPrompt();
            Placement.Send sent = assertInstanceOf(Placement.Send.class, placer.place(demand, cold, Set.of(), 1_000));
            fleet.start(sent.works());
            fleet.end(demand.id());
        }
        assertInstanceOf(Placement.Wait.class, placer.place(shortPrompt(), cold, Set.of(), 1_000));
        ticker.advance(Duration.ofMillis(1_001));
        assertInstanceOf(Placement.Send.class, placer.place(shortPrompt(), cold, Set.of(), 1_000));
    }

    @Test
    void refusesAtOnceWhenNoEndpointIsLeft() {
        assertInstanceOf(Placement.Refuse.class, placer.place(shortPrompt(), SPEC, Set.of(), 0));
        engines(1);
        fleet.setEvacuated(FailureDomain.of("z0"), true);
        assertInstanceOf(Placement.Refuse.class, placer.place(shortPrompt(), SPEC, Set.of(), 0));
        fleet.setEvacuated(FailureDomain.of("z0"), false);
        assertInstanceOf(Placement.Send.class, placer.place(shortPrompt(), SPEC, Set.of(), 0));
    }

    @Test
    void sendsNothingToADrainingEndpoint() {
        Endpoint e = engine(0, 0);
        fleet.put(new Endpoint(e.id(), e.service(), e.address(), e.domain(), e.slots(), true, 0, 0));
        assertInstanceOf(Placement.Refuse.class, placer.place(shortPrompt(), SPEC, Set.of(), 0));
    }
}
