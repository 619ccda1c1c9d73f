package org.jujuberouter.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.jujuberouter.catalog.EngineCostModel;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/** Guards against calls that a stopping instance takes although it is killed before they end. */
class StopScheduleTest {
    private static final long STOP_MS = 8_000;
    private static final long KILL_MARGIN_MS = 700;
    private static final ServiceName SERVICE = ServiceName.of("assistant");
    private static final EngineCostModel ENGINE =
            new EngineCostModel(11, 232_000, 43, 1.02, 0.0033, 0.0043, 206, 0.138, 2_048);
    private static final ServiceSpec ENGINES = new ServiceSpec(SERVICE, "/health", 304, 26, Optional.of(ENGINE));
    private static final ServiceSpec PLAIN = new ServiceSpec(SERVICE, "/health", 110, 0, Optional.empty());

    private final ManualTicker ticker = ManualTicker.atZero();
    private final StopSchedule schedule = StopSchedule.of(ticker, STOP_MS);

    private void advance(long millis) {
        ticker.advance(Duration.ofMillis(millis));
    }

    private static CallRequirements call(long promptTokens, long outputTokens) {
        return new CallRequirements(RequestId.of("call"), SERVICE, promptTokens, outputTokens, 300, 250, 2_000);
    }

    @Test
    void acceptsEveryCallBeforeTheStop() {
        assertTrue(schedule.accepts(60_000, 60_000));
        assertFalse(schedule.isStopping());
        assertFalse(schedule.isOver());
    }

    @Test
    void acceptsOnlyCallsThatAreExpectedToEndWhileThePlatformStillSendsThem() {
        schedule.begin();
        advance(2_500);
        assertTrue(schedule.accepts(4_700, 10_000));
        assertFalse(schedule.accepts(4_900, 10_000));
    }

    /** An expectation can be wrong, and calls that are sent this late must not be cut. */
    @Test
    void acceptsOnlyCallsWhoseDeadlineIsInTimeOnceItIsOutOfRotation() {
        schedule.begin();
        advance(2_600);
        assertFalse(schedule.accepts(100, 10_000));
        assertTrue(schedule.accepts(100, 4_000));
        advance(1_000);
        assertFalse(schedule.accepts(100, 4_000));
        assertTrue(schedule.accepts(100, 500));
    }

    /** For each moment and each duration up to the kill, also if calls last exactly as long as expected. */
    @Test
    void acceptsNoCallThatIsExpectedToEndAfterTheKill() {
        schedule.begin();
        for (long at = 0; at <= STOP_MS; at += 100, advance(100)) {
            for (long lasts = 100; lasts <= STOP_MS; lasts += 100) {
                boolean endsInTime = at + lasts <= STOP_MS - KILL_MARGIN_MS;
                assertTrue(endsInTime || !schedule.accepts(lasts, lasts + 2_000), at + " ms, lasts " + lasts + " ms");
            }
        }
        assertTrue(schedule.isOver());
    }

    @Test
    void acceptsNothingOnceItIsClosed() {
        schedule.begin();
        schedule.close();
        assertFalse(schedule.accepts(0, 1));
    }

    /** A burst of short streams beside prompts of all lengths, at an instance that is being replaced. */
    @Test
    void takesShortStreamsAndPlainCallsUntilItIsOutOfRotationButNoPromptThatAnEngineReadsForLong() {
        schedule.begin();
        advance(2_500);
        assertTrue(schedule.accepts(call(5_000, 1_376).expectedMs(ENGINES), 10_000));
        assertTrue(schedule.accepts(call(45_000, 817).expectedMs(ENGINES), 10_000));
        assertFalse(schedule.accepts(call(600_000, 688).expectedMs(ENGINES), 15_000));
        assertEquals(300, call(0, 0).expectedMs(PLAIN));
    }
}
