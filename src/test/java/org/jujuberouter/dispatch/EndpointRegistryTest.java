package org.jujuberouter.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/**
 * Guards against work that grows with the number of endpoints or instances although it changes no placement, and against
 * knowledge of a run that is lost with its registration.
 */
class EndpointRegistryTest {
    private static final ServiceName SERVICE = ServiceName.of("assistant");
    private static final ServiceName OTHER_SERVICE = ServiceName.of("ledger");
    private static final EndpointId ENGINE = EndpointId.of("e0");
    private static final double TOLERANCE_MS = 20;

    private final ManualTicker ticker = ManualTicker.atZero();
    private final EndpointRegistry registry = EndpointRegistry.empty(ticker);

    /** While many endpoints are cold, each renews its registration every few hundred milliseconds. */
    @Test
    void keepsTheOrderOfAServiceWhileColdEndpointsRenewTheirRegistrations() {
        for (int i = 0; i < 200; i++) {
            registry.register(engine(i, SERVICE, 10_000));
        }
        registry.setGroup(1, 4);
        List<TrackedEndpoint> before = registry.usable(SERVICE);
        long orderings = registry.orderings();
        for (int i = 0; i < 1_000; i++) {
            registry.register(engine(i % 200, SERVICE, 10_000 - i));
            assertEquals(before, registry.usable(SERVICE));
        }
        assertEquals(orderings, registry.orderings());
    }

    @Test
    void ordersAgainWhenAnEndpointIsNewOrLeavesOrChangesItsService() {
        registry.register(engine(0, SERVICE, 0));
        registry.register(engine(1, SERVICE, 0));
        assertEquals(2, registry.usable(SERVICE).size());
        registry.register(engine(2, SERVICE, 0));
        assertEquals(3, registry.usable(SERVICE).size());
        registry.deregister(EndpointId.of("e2"), 0);
        assertEquals(2, registry.usable(SERVICE).size());
        registry.register(engine(1, OTHER_SERVICE, 0));
        assertEquals(1, registry.usable(SERVICE).size());
        assertEquals(1, registry.usable(OTHER_SERVICE).size());
    }

    /** A burst of short streams that start about when predicted, as one instance and one of its peers see it. */
    @Test
    void peersPredictThePrefillOfABurstWithoutReportsOfFirstEventsThatAreOnTime() {
        EndpointRegistry peer = EndpointRegistry.empty(ticker);
        registry.register(engine(0, SERVICE, 0));
        peer.register(engine(0, SERVICE, 0));
        TrackedEndpoint own = registry.find(ENGINE).orElseThrow();
        TrackedEndpoint seenByPeer = peer.find(ENGINE).orElseThrow();
        Random random = new Random(17);
        Deque<RequestId> prefilling = new ArrayDeque<>();
        Deque<Double> dueMs = new ArrayDeque<>();
        double clockMs = 0;
        int reports = 0;
        for (int i = 0; i < 2_000; i++) {
            ticker.advance(Duration.ofMillis(5));
            clockMs += 5;
            if (i % 6 == 0) {
                RequestId id = RequestId.of("r" + i);
                List<Allocation> allocations = List.of(new Allocation(id, ENGINE, true, 24, 5_000, 300, 250, 1));
                registry.allocate(allocations);
                peer.allocate(allocations);
                prefilling.add(id);
                dueMs.add(clockMs + own.load().prefillRemainingMs(ticker.nanos()));
            }
            while (!dueMs.isEmpty() && clockMs >= dueMs.peek()) {
                RequestId id = prefilling.poll();
                double delayMs = random.nextDouble() * 10 + clockMs - dueMs.poll();
                registry.prefillDone(id);
                if (own.needsReport(delayMs, ticker.nanos())) {
                    reports++;
                }
                own.recordFirstEventDelay(delayMs, ticker.nanos());
            }
            double difference = own.load().prefillRemainingMs(ticker.nanos())
                    - seenByPeer.load().prefillRemainingMs(ticker.nanos());
            assertTrue(Math.abs(difference) <= TOLERANCE_MS, "differs by " + difference + " ms");
        }
        assertEquals(0, reports);
    }

    @Test
    void peersNeedReportsOfFirstEventsThatDifferFromThePrediction() {
        registry.register(engine(0, SERVICE, 0));
        TrackedEndpoint endpoint = registry.find(ENGINE).orElseThrow();
        assertFalse(endpoint.needsReport(5, ticker.nanos()));
        assertTrue(endpoint.needsReport(-300, ticker.nanos()), "a prefill that ended early frees the engine");
        assertTrue(endpoint.needsReport(200, ticker.nanos()));
        endpoint.recordFirstEventDelay(200, ticker.nanos());
        assertTrue(endpoint.needsReport(0, ticker.nanos()), "the endpoint has recovered from its delay");
    }

    /** An endpoint that cannot reach the store is registered again when it does; requests reached it in its pause. */
    @Test
    void keepsThePauseOfARunWhoseRegistrationEndsAndReturns() {
        TrackedEndpoint endpoint = registered(run(1, 0));
        endpoint.pauseFor(20_000, ticker.nanos());
        registry.deregister(ENGINE, 0);
        assertEquals(List.of(), registry.usable(SERVICE));
        ticker.advance(Duration.ofSeconds(4));
        assertTrue(registered(run(1, 0)).isFull(ticker.nanos()));
        ticker.advance(Duration.ofSeconds(16));
        assertFalse(registered(run(1, 0)).isFull(ticker.nanos()));
    }

    /** A call may be answered after the registration of its endpoint has ended. */
    @Test
    void keepsWhatARunStatesWhileItHasNoRegistration() {
        TrackedEndpoint endpoint = registered(run(1, 0));
        registry.deregister(ENGINE, 0);
        endpoint.markLeaving();
        registered(run(1, 0));
        assertEquals(List.of(), registry.usable(SERVICE));
    }

    @Test
    void keepsTheCallsOfARunWhoseRegistrationEndsAndReturns() {
        registered(run(1, 0));
        registry.allocate(List.of(new Allocation(RequestId.of("r1"), ENGINE, true, 24, 5_000, 300, 250, 1)));
        registry.deregister(ENGINE, 0);
        registry.allocate(List.of(new Allocation(RequestId.of("r2"), ENGINE, true, 24, 5_000, 300, 250, 1)));
        registry.release(RequestId.of("r1"));
        assertEquals(1, registered(run(1, 0)).load().slotsUsed());
    }

    /** Otherwise a cold endpoint would get its calls of a second once more. */
    @Test
    void keepsTheColdStartOfARunWhoseRegistrationEndsAndReturns() {
        TrackedEndpoint endpoint = registered(run(1, 10_000));
        endpoint.recordStart(ticker.nanos());
        registry.deregister(ENGINE, 0);
        assertTrue(registered(run(1, 10_000)).isColdLimitReached(1, ticker.nanos()));
    }

    /** A registration that was written before the endpoint became cold may be read later. */
    @Test
    void staysColdForAsLongAsAResponseStatedWhateverTheRegistration() {
        TrackedEndpoint endpoint = registered(run(1, 0));
        endpoint.setColdFor(5_000, ticker.nanos());
        ticker.advance(Duration.ofSeconds(4));
        assertTrue(registered(run(1, 0)).isCold(ticker.nanos()));
        ticker.advance(Duration.ofSeconds(1));
        assertFalse(registered(run(1, 0)).isCold(ticker.nanos()));
    }

    @Test
    void startsTheNextRunOfAnEndpointWithoutHistory() {
        registered(run(1, 0)).pauseFor(20_000, ticker.nanos());
        registry.deregister(ENGINE, 0);
        assertFalse(registered(run(2, 0)).isFull(ticker.nanos()));
        registry.deregister(ENGINE, 0);
        assertFalse(registered(run(1, 0)).isFull(ticker.nanos()), "the first run ended when the second one began");
    }

    /** Such a run cannot be told from the next one, which has not asked for the pause. */
    @Test
    void forgetsARunOfUnknownStartWithItsRegistration() {
        registered(engine(0, SERVICE, 0)).markLeaving();
        registry.deregister(ENGINE, 0);
        registered(engine(0, SERVICE, 0));
        assertEquals(1, registry.usable(SERVICE).size());
    }

    @Test
    void forgetsRunsThatHaveHadNoRegistrationForLong() {
        for (int i = 0; i < 200; i++) {
            registry.register(engine(i, SERVICE, 0, 1));
            registry.deregister(EndpointId.of("e" + i), 0);
            ticker.advance(Duration.ofSeconds(6));
        }
        assertEquals(100, registry.unregisteredCount(), 1);
    }

    private TrackedEndpoint registered(Endpoint endpoint) {
        registry.register(endpoint);
        return registry.find(endpoint.id()).orElseThrow();
    }

    private static Endpoint run(long startedAtMs, long coldMs) {
        return engine(0, SERVICE, coldMs, startedAtMs);
    }

    private static Endpoint engine(int i, ServiceName service, long coldMs) {
        return engine(i, service, coldMs, 0);
    }

    private static Endpoint engine(int i, ServiceName service, long coldMs, long startedAtMs) {
        return new Endpoint(
                EndpointId.of("e" + i),
                service,
                new InetSocketAddress("10.0.0." + (i + 1), 80),
                FailureDomain.of("z" + i % 3),
                11,
                false,
                coldMs,
                startedAtMs);
    }

    /** The end of a long cold start overflowed, so the endpoint counted as warm. */
    @Test
    void countsAnEndpointAsColdForAnyTimeThatItStates() {
        ticker.advance(Duration.ofSeconds(1));
        registry.register(engine(0, SERVICE, Long.MAX_VALUE));
        TrackedEndpoint endpoint = registry.find(ENGINE).orElseThrow();
        assertTrue(endpoint.isCold(ticker.nanos()));
        endpoint.setColdFor(Long.MAX_VALUE, ticker.nanos());
        registry.register(engine(0, SERVICE, 0));
        assertTrue(endpoint.isCold(ticker.nanos()));
    }

    /** Without a limit on calls per second, the calls of a cold endpoint were kept for as long as it was cold. */
    @Test
    void keepsTheStartsOfAColdEndpointForASecond() {
        registry.register(engine(0, SERVICE, Long.MAX_VALUE));
        TrackedEndpoint endpoint = registry.find(ENGINE).orElseThrow();
        for (int i = 0; i < 1_000; i++) {
            ticker.advance(Duration.ofMillis(10));
            endpoint.recordStart(ticker.nanos());
        }
        assertTrue(endpoint.coldStartCount() <= 101, endpoint.coldStartCount() + " starts");
    }
}
