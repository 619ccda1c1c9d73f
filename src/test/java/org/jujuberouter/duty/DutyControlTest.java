package org.jujuberouter.duty;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/** Guards against calls with a lease that may have ended, a wrong time, and counts that leave with their instance. */
class DutyControlTest {
    private static final long WALL_MS = 1_000_000_000_000L;
    private static final long TOKEN = 40;
    private static final StorePosition CREATED_AT = position(TOKEN);
    private static final Incarnation SELF = Incarnation.of(InstanceId.of("a"), 1);
    private static final Incarnation OTHER = Incarnation.of(InstanceId.of("b"), 1);
    private static final CustomerId CUSTOMER = CustomerId.of("fida11");

    private final ManualTicker ticker = ManualTicker.atZero();
    private long wallStepMs = WALL_MS;
    private final List<String> actions = new ArrayList<>();
    private final DutyControl control = DutyControl.of(
            ticker,
            () -> ticker.nanos() + wallStepMs * 1_000_000,
            SELF,
            new DutySettings(true, true, 2, 3_000, 300, 5_000),
            6_000,
            true,
            new Recorder());

    private void advance(long ms) {
        ticker.advance(Duration.ofMillis(ms));
    }

    private static StorePosition position(long revision) {
        return StorePosition.of(1, revision);
    }

    private void tick(Incarnation... listed) {
        control.tick(Set.of(listed).stream().map(Incarnation::instance).toList(), CREATED_AT);
    }

    private void lead() {
        control.leaseRenewed(ticker.nanos());
        tick(SELF);
        control.holderCreated(new StoreWrite.Applied(CREATED_AT));
        assertTrue(control.mayAct());
    }

    private InstanceReport report(long wallMs, WindowCounts... counts) {
        return new InstanceReport(wallMs, ticker.millis(), wallMs, List.of(counts), List.of());
    }

    private long correction(Incarnation source, long wallMs) {
        return control.reportReceived(source, report(wallMs)).orElseThrow().correctionMs();
    }

    @Test
    void actsOnlyUntilOneSecondBeforeTheEndOfItsLease() {
        lead();
        advance(4_990);
        assertTrue(control.maySend(new DutyTerm(CREATED_AT)));
        advance(20);
        assertFalse(control.maySend(new DutyTerm(CREATED_AT)));
        assertFalse(control.beginCall());
    }

    /** The monotonic clock does not show a suspension; renewals that were sent before it prove nothing. */
    @Test
    void doesNotActAfterASuspensionUntilALaterRenewalIsAcknowledged() {
        lead();
        long sentBefore = ticker.nanos();
        advance(10);
        wallStepMs += 20_000;
        assertFalse(control.mayAct());
        control.leaseRenewed(sentBefore);
        assertFalse(control.mayAct());
        advance(1);
        control.leaseRenewed(ticker.nanos());
        assertTrue(control.mayAct());
    }

    @Test
    void learnsOfALostResponseFromTheKeyButNotFromOneThatItDidNotCreate() {
        control.holderWritten(SELF.instance(), position(7));
        tick(SELF);
        assertEquals(List.of("delete 7"), actions);
        assertTrue(control.term().isEmpty());
        control.holderRemoved(position(7));
        advance(200);
        tick(SELF);
        control.holderCreated(new StoreWrite.Unknown("no response"));
        control.holderWritten(SELF.instance(), CREATED_AT);
        assertEquals(new DutyTerm(CREATED_AT), control.term().orElseThrow());
    }

    /** All instances of a site that start together must not try in the same moment when they may. */
    @Test
    void oneInstanceOfManyTriesFirstWhenTheTimeWithoutAttemptsEnds() {
        List<InstanceId> instances = LongStream.range(0, 20)
                .mapToObj(i -> InstanceId.of("edge-" + i))
                .toList();
        List<InstanceId> tried = new ArrayList<>();
        List<HolderElection> elections = instances.stream()
                .map(i -> HolderElection.of(ticker, i, 3_000, false))
                .toList();
        elections.forEach(HolderElection::viewKnown);
        for (long ms = 0; ms < 3_550; ms += 50) {
            for (int i = 0; i < instances.size(); i++) {
                if (elections.get(i).shouldAttempt(instances)) {
                    elections.get(i).attemptSent();
                    tried.add(instances.get(i));
                }
            }
            assertEquals(ms < 3_500 ? 0 : 1, tried.size(), "after " + ms + " ms");
            advance(50);
        }
    }

    @Test
    void neverSendsAgainAfterItsTokenWasRefused() {
        lead();
        assertTrue(control.beginCall());
        control.callEnded(new DutyTerm(CREATED_AT), DutyResult.FENCED);
        assertFalse(control.maySend(new DutyTerm(CREATED_AT)));
        control.holderWritten(SELF.instance(), CREATED_AT);
        assertTrue(control.term().isEmpty());
    }

    @Test
    void keepsToTheRateLimit() {
        lead();
        assertTrue(control.beginCall());
        assertTrue(control.beginCall());
        assertFalse(control.beginCall());
        advance(1_050);
        assertTrue(control.beginCall());
    }

    /** One clock that jumps by seconds moves requests to wrong windows, and a late report looks like a slow clock. */
    @Test
    void takesTheMedianOfTheClocksForTheTrueTime() {
        lead();
        long now = WALL_MS + ticker.millis();
        Incarnation third = Incarnation.of(InstanceId.of("c"), 1);
        correction(SELF, now);
        correction(OTHER, now + 30);
        assertEquals(-4_970, correction(third, now + 5_000));
        assertEquals(30, correction(SELF, now));
        advance(1_000);
        // The report was sent 700 ms ago.
        assertEquals(
                0,
                control.reportReceived(
                                OTHER, new InstanceReport(now + 330, ticker.millis() - 700, 0, List.of(), List.of()))
                        .orElseThrow()
                        .correctionMs());
    }

    /** Leases lapse while the store is down, so the list of instances may be short when a new leader is elected. */
    @Test
    void waitsForTheReportsOfUnlistedInstancesWhenItsTermBegins() {
        long window = WALL_MS / 5_000;
        advance(7_000);
        lead();
        control.reportReceived(SELF, report(WALL_MS + 7_000));
        advance(500);
        tick(SELF);
        assertEquals(List.of("create"), actions);
        WindowCounts counts = new WindowCounts(OTHER, window, Map.of(CUSTOMER, 3L));
        control.reportReceived(OTHER, report(WALL_MS + 7_500, counts));
        advance(600);
        tick(SELF);
        assertEquals(List.of("create", "commit " + window + " {fida11=3}"), actions);
    }

    /** Instances that stop in turn take the counts with them that only the former leader knows. */
    @Test
    void passesOnTheCountsOfAnInstanceThatHasEnded() {
        lead();
        tick(SELF, OTHER);
        long window = WALL_MS / 5_000;
        WindowCounts counts = new WindowCounts(OTHER, window, Map.of(CUSTOMER, 3L));
        control.reportReceived(OTHER, report(WALL_MS, counts));
        control.reportReceived(OTHER, report(WALL_MS, counts));
        control.holderWritten(InstanceId.of("c"), position(TOKEN + 1));
        assertEquals(List.of(), control.report(List.of()).counts());
        tick(SELF);
        assertEquals(List.of(counts), control.report(List.of()).counts());
        control.replyReceived(new LeaderReply(0, window, ticker.millis()));
        assertEquals(List.of(), control.report(List.of()).counts());
    }

    @Test
    void releasesTheDutyOnlyWhenNoCallIsInFlight() {
        lead();
        tick(SELF, OTHER);
        assertTrue(control.beginCall());
        control.stop();
        tick(SELF, OTHER);
        assertEquals(List.of("create"), actions);
        assertFalse(control.beginCall());
        control.callEnded(new DutyTerm(CREATED_AT), DutyResult.ACCEPTED);
        tick(SELF, OTHER);
        assertEquals(List.of("create", "delete " + TOKEN), actions);
    }

    private final class Recorder implements DutyActions {
        @Override
        public void createHolder() {
            actions.add("create");
        }

        @Override
        public void deleteHolder(long revision) {
            actions.add("delete " + revision);
        }

        @Override
        public void commitWindow(DutyTerm term, long window, Map<CustomerId, Long> counts, List<Long> obsolete) {
            actions.add("commit " + window + " " + counts);
        }

        @Override
        public void sendUsage(DutyTerm term, long window, Map<CustomerId, Long> counts) {}

        @Override
        public void log(String event, Map.Entry<?, ?>... fields) {}
    }
}
