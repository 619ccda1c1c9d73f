package org.jujuberouter.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests each admission rule of one endpoint. */
class AdmissionControllerTest implements HolderLiveness {
    private static final Incarnation HOLDER = Incarnation.of(InstanceId.of("holder"), 1);
    private static final Capacity WARM = Capacity.of(8, 800_000);
    private static final Capacity COLD = Capacity.of(2, 200_000);

    private final ManualTicker ticker = ManualTicker.atZero();
    private final Set<Incarnation> dead = new HashSet<>();
    private final List<ListedRequest> engineRequests = new ArrayList<>();
    private AdmissionAuthority authority = held(1);
    private AdmissionController controller;
    private int requests;
    private long boot = 1;

    @BeforeEach
    void warmUpEndpoint() {
        controller = AdmissionController.ofEngine(ticker, EndpointId.of("e"), () -> authority, this);
        poll(13, false);
    }

    @Test
    void grantsNothingBeforeAListShowsTheWorkOfAnEarlierOwner() {
        authority = held(5);
        controller.tick();
        requestPermit(PromptClass.SHORT, 1);
        assertEquals(0, controller.stats().own().slots());
        engineRequests.add(new ListedRequest(RequestId.of("old"), HOLDER, 4, PromptClass.SHORT, 1, false));
        poll(2, false);
        assertEquals(1, controller.stats().foreign().slots());
        fill(20, 1);
        assertEquals(7, controller.stats().own().slots());
    }

    @Test
    void countsRunningWorkOfAnEarlierOwnerInAdditionToItsReservedPart() {
        authority = new AdmissionAuthority.Held(5, 1, b -> b - 4, b -> b, b -> 4);
        engineRequests.add(new ListedRequest(RequestId.of("old-1"), HOLDER, 4, PromptClass.SHORT, 1, false));
        engineRequests.add(new ListedRequest(RequestId.of("old-2"), HOLDER, 4, PromptClass.SHORT, 1, false));
        poll(3, false);
        assertEquals(2, fill(8, 1).size(), "4 permits may still be used beside the 2 running requests");
        assertReason(Refusal.NoShare.class, request(PromptClass.LONG, 70_000, "c", false, 9_000));
    }

    @Test
    void resetsTheBoundToTheColdCapacityAndDoublesItEveryFiveSeconds() {
        boot = 2;
        controller.report(new EndpointReport(boot, false, false, WARM, COLD), ticker.nanos());
        assertEquals(COLD, controller.stats().bound());
        poll(6, false);
        assertEquals(4, controller.stats().bound().slots());
        poll(1, true);
        assertEquals(COLD, controller.stats().bound());
        pass(2_100);
        assertEquals(Capacity.NONE, controller.stats().bound(), "no recent report");
    }

    @Test
    void stopsGrantsAfterAConnectionFailureUntilANewerReport() {
        Permit permit = granted(requestPermit(PromptClass.SHORT, 1));
        controller.release(permit.ref(), PermitEnd.FAILED);
        assertInstanceOf(Decision.Waiting.class, requestPermit(PromptClass.SHORT, 1));
        poll(1, false);
        assertEquals(0, controller.takeDecisions().size(), "the latest request of the holder is a second old");
        assertInstanceOf(Decision.Granted.class, requestPermit(PromptClass.SHORT, 1));
    }

    @Test
    void refusesWithTheReason() {
        assertReason(Refusal.TooLarge.class, request(PromptClass.LONG, 700_000, "c", false, 10_000));
        assertReason(Refusal.DeadlineUnreachable.class, request(PromptClass.SHORT, 1, "c", false, 0));
        PermitRequest marked = request(PromptClass.SHORT, 1, "c", true, 9_000);
        granted(controller.request(marked));
        assertReason(Refusal.MarkedRunning.class, request(PromptClass.SHORT, 1, "c", true, 9_000));
        PermitRequest same = request(PromptClass.SHORT, 1, "c", false, 9_000);
        assertReason(
                Refusal.IdenticalRunning.class,
                new PermitRequest(
                        same.id(),
                        HOLDER,
                        same.customer(),
                        1,
                        PromptClass.SHORT,
                        1,
                        marked.fingerprint(),
                        false,
                        same.deadlineNanos()));
        controller.drain(true);
        assertReason(Refusal.Drained.class, same);
        controller.drain(false);
        controller.report(new EndpointReport(1, false, true, WARM, COLD), ticker.nanos());
        assertReason(Refusal.Leaving.class, same);
        authority = new AdmissionAuthority.None(Optional.of(InstanceId.of("other")));
        assertEquals(
                new Decision.Refused(new Refusal.NotOwner(Optional.of(InstanceId.of("other")))),
                controller.request(same));
    }

    @Test
    void refusesAtOnceARequestThatCannotStartBeforeItsDeadline() {
        for (int i = 0; i < 8; i++) {
            Permit permit = granted(requestPermit(PromptClass.SHORT, 1));
            pass(400);
            controller.release(permit.ref(), PermitEnd.COMPLETED);
            poll(1, false);
        }
        fill(40, 1);
        Decision decision = controller.request(request(PromptClass.SHORT, 1, "c", false, 1_000));
        Refusal refusal = assertInstanceOf(Decision.Refused.class, decision).reason();
        assertTrue(assertInstanceOf(Refusal.DeadlineUnreachable.class, refusal).expectedWaitNanos() > 0);
    }

    @Test
    void reservesCapacityForShortRequestsAndAdmitsOneLongPrefillAtATime() {
        Permit first = granted(requestPermit(PromptClass.LONG, 100_000));
        controller.started(first.id());
        PermitRequest second = request(PromptClass.LONG, 100_000, "c", false, 9_000);
        assertInstanceOf(Decision.Waiting.class, controller.request(second));
        controller.prefillDone(first.id());
        assertEquals(second, controller.takeDecisions().getFirst().request());
        for (int i = 0; i < 8; i++) {
            requestPermit(PromptClass.MEDIUM, 10_000);
            startAll();
        }
        assertEquals(6, controller.stats().own().slots());
        granted(requestPermit(PromptClass.SHORT, 1_000));
        granted(requestPermit(PromptClass.SHORT, 1_000));
    }

    @Test
    void doesNotStarveALongRequestUnderAStreamOfShortOnes() {
        List<Permit> running = fill(8, 90_000);
        PermitRequest longRequest = request(PromptClass.LONG, 400_000, "c", false, 60_000);
        boolean started = false;
        for (int i = 0; i < 8 && !started; i++) {
            controller.request(longRequest);
            controller.release(running.removeFirst().ref(), PermitEnd.COMPLETED);
            requestPermit(PromptClass.SHORT, 90_000);
            started = controller.takeDecisions().stream()
                    .anyMatch(d -> d.request().equals(longRequest));
            startAll();
        }
        assertTrue(started);
    }

    @Test
    void sharesScarceCapacityFairlyBetweenCustomersInDeadlineOrder() {
        List<Permit> running = fill(8, 1);
        for (int i = 0; i < 40; i++) {
            controller.request(request(PromptClass.SHORT, 100, i < 30 ? "greedy" : "small", false, 90_000 - i));
        }
        List<Long> small = new ArrayList<>();
        for (Permit permit : running) {
            controller.release(permit.ref(), PermitEnd.COMPLETED);
            PermitRequest next = controller.takeDecisions().getFirst().request();
            if (next.customer().value().equals("small")) {
                small.add(next.deadlineNanos());
            }
            startAll();
        }
        assertEquals(4, small.size());
        assertEquals(small.stream().sorted().toList(), small);
    }

    @Test
    void cancelsRequestsWithoutPermitOrWithDeadHolderAfterFiveSeconds() {
        Permit permit = granted(requestPermit(PromptClass.SHORT, 1));
        engineRequests.add(new ListedRequest(permit.id(), HOLDER, 1, PromptClass.SHORT, 1, false));
        engineRequests.add(new ListedRequest(RequestId.of("stray"), HOLDER, 1, PromptClass.SHORT, 1, false));
        assertEquals(List.of(), poll(5, false));
        assertEquals(List.of(RequestId.of("stray")), poll(1, false));
        dead.add(HOLDER);
        assertEquals(List.of(RequestId.of("stray")), poll(5, false));
        assertEquals(2, poll(1, false).size());
        engineRequests.clear();
        poll(1, false);
        assertEquals(
                0,
                controller.stats().own().slots() + controller.stats().foreign().slots());
    }

    /** Work stayed at an engine when its release went to an owner that died before acting on it. */
    @Test
    void cancelsWorkOfAnEarlierOwnerThatItsLiveHolderNoLongerReports() {
        authority = held(5);
        engineRequests.add(new ListedRequest(RequestId.of("old"), HOLDER, 4, PromptClass.SHORT, 1, false));
        assertEquals(List.of(), poll(20, false), "the holder is alive and may still be reading the response");
        assertEquals(Set.of(HOLDER), controller.holdersBefore(ticker.nanos()));
        controller.holderReport(HOLDER, List.of(), ticker.nanos());
        assertEquals(List.of(), poll(5, false));
        assertEquals(List.of(RequestId.of("old")), poll(2, false));
    }

    @Test
    void countsAnUnusedPermitUntilItsHolderReports() {
        Permit first = granted(requestPermit(PromptClass.SHORT, 1));
        poll(20, false);
        assertEquals(1, controller.stats().own().slots(), "a paused holder may still send");
        Permit renewed = granted(controller.request(first.request()));
        controller.release(first.ref(), PermitEnd.NOT_SENT);
        assertEquals(1, controller.stats().own().slots(), "releasing the earlier grant must not free the later one");
        controller.holderReport(HOLDER, List.of(), ticker.nanos() + 1);
        assertEquals(0, controller.stats().own().slots());
        controller.release(renewed.ref(), PermitEnd.NOT_SENT);
    }

    @Test
    void decidesOnThousandsOfPermitRequestsPerSecond() {
        int rounds = 200_000;
        long begin = System.nanoTime();
        for (int i = 0; i < rounds; i++) {
            Permit permit = granted(requestPermit(PromptClass.SHORT, 1));
            controller.started(permit.id());
            controller.release(permit.ref(), PermitEnd.COMPLETED);
        }
        double rate = rounds / ((System.nanoTime() - begin) / 1e9);
        System.out.printf("permits: %.0f grants and releases a second on one thread%n", rate);
        assertTrue(rate > 5_000, "rate " + rate);
    }

    @Override
    public boolean isPresumedDead(Incarnation holder) {
        return dead.contains(holder);
    }

    @Override
    public boolean isTerminated(Incarnation holder) {
        return dead.contains(holder);
    }

    private void startAll() {
        controller.permits().forEach(p -> controller.started(p.id()));
    }

    private List<Permit> fill(int count, long tokens) {
        List<Permit> running = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            if (requestPermit(PromptClass.SHORT, tokens) instanceof Decision.Granted granted) {
                running.add(granted.permit());
            }
            startAll();
        }
        return running;
    }

    private Decision requestPermit(PromptClass promptClass, long tokens) {
        return controller.request(request(promptClass, tokens, "c", false, 60_000));
    }

    private PermitRequest request(
            PromptClass promptClass, long tokens, String customer, boolean alone, long deadlineMs) {
        String name = "request-" + requests++;
        return new PermitRequest(
                RequestId.of(name),
                HOLDER,
                CustomerId.of(customer),
                1,
                promptClass,
                tokens,
                Fingerprint.of(name),
                alone,
                ticker.nanos() + deadlineMs * 1_000_000);
    }

    private static Permit granted(Decision decision) {
        return assertInstanceOf(Decision.Granted.class, decision).permit();
    }

    private void assertReason(Class<? extends Refusal> reason, PermitRequest request) {
        assertInstanceOf(
                reason,
                assertInstanceOf(Decision.Refused.class, controller.request(request))
                        .reason());
    }

    private List<RequestId> poll(int times, boolean cold) {
        List<RequestId> cancel = List.of();
        for (int i = 0; i < times; i++) {
            pass(1_000);
            controller.report(new EndpointReport(boot, cold, false, WARM, COLD), ticker.nanos());
            cancel = controller.listed(engineRequests, ticker.nanos());
        }
        return cancel;
    }

    private void pass(long ms) {
        ticker.advance(Duration.ofMillis(ms));
        controller.tick();
    }

    private static AdmissionAuthority held(long fence) {
        return new AdmissionAuthority.Held(fence, 0, b -> b, b -> Math.floorDiv(3 * b, 4), b -> 0);
    }
}
