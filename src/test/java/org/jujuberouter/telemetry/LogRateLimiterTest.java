package org.jujuberouter.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.jujuberouter.misc.ManualTicker;
import org.jujuberouter.telemetry.LogRateLimiter.Kind;
import org.junit.jupiter.api.Test;

/**
 * Guards against a volume of log lines that grows with the load, and against the loss of lines that explain failures.
 */
class LogRateLimiterTest {
    private final ManualTicker ticker = ManualTicker.atZero();
    private final LogRateLimiter limiter = LogRateLimiter.of(ticker);

    private int acquire(Kind kind, int attempts) {
        int acquired = 0;
        for (int i = 0; i < attempts; i++) {
            acquired += limiter.tryAcquire(kind) ? 1 : 0;
        }
        return acquired;
    }

    @Test
    void limitsTheLinesPerSecondIndependentlyOfTheLoad() {
        acquire(Kind.ROUTINE, 100_000);
        ticker.advance(Duration.ofSeconds(1));
        assertTrue(acquire(Kind.ROUTINE, 100_000) <= 121);
    }

    @Test
    void countsDroppedLines() {
        int acquired = acquire(Kind.ROUTINE, 10_000);
        assertEquals(10_000 - acquired, limiter.droppedCount(Kind.ROUTINE));
        assertEquals(0, limiter.droppedCount(Kind.FAILURE));
    }

    /** A few requests fail among very many successful ones. */
    @Test
    void keepsLinesOfFailedRequestsWhenRoutineLinesExceedTheirLimit() {
        acquire(Kind.ROUTINE, 100_000);
        assertEquals(50, acquire(Kind.FAILURE, 50));
    }
}
