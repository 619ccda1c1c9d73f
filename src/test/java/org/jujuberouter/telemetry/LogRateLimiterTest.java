package org.jujuberouter.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.jujuberouter.misc.ManualTicker;
import org.jujuberouter.telemetry.LogRateLimiter.Kind;
import org.junit.jupiter.api.Test;

/** Guards against a volume of log lines that grows with the load, and against the loss of lines that explain failures. */
class LogRateLimiterTest {
    private final ManualTicker ticker = ManualTicker.atZero();
    private final LogRateLimiter budget = LogRateLimiter.of(ticker);

    private int taken(Kind kind, int wanted) {
        int taken = 0;
        for (int i = 0; i < wanted; i++) {
            taken += budget.tryAcquire(kind) ? 1 : 0;
        }
        return taken;
    }

    @Test
    void boundsTheLinesOfOneSecondWhateverTheLoad() {
        taken(Kind.ROUTINE, 100_000);
        ticker.advance(Duration.ofSeconds(1));
        assertTrue(taken(Kind.ROUTINE, 100_000) <= 121);
    }

    @Test
    void countsWhatItLeavesOut() {
        int taken = taken(Kind.ROUTINE, 10_000);
        assertEquals(10_000 - taken, budget.droppedCount(Kind.ROUTINE));
        assertEquals(0, budget.droppedCount(Kind.FAILURE));
    }

    /** Pattern: very many requests that go well beside a few that fail. */
    @Test
    void keepsLinesOfFailedRequestsWhenRoutineLinesUseTheirBudgetUp() {
        taken(Kind.ROUTINE, 100_000);
        assertEquals(50, taken(Kind.FAILURE, 50));
    }
}
