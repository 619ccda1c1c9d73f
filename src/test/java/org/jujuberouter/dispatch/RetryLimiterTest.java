package org.jujuberouter.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/** Guards against retries of all instances that exceed their common budget. */
class RetryLimiterTest {
    private final ManualTicker ticker = ManualTicker.atZero();

    private static int acquireAll(RetryLimiter limiter, int instances) {
        int acquired = 0;
        while (acquired < 10_000 && limiter.tryAcquire(instances)) {
            acquired++;
        }
        return acquired;
    }

    @Test
    void retriesOfAllInstancesStayWithinTheBudget() {
        int total = 0;
        for (int i = 0; i < 8; i++) {
            RetryLimiter limiter = RetryLimiter.of(ticker, 10_000, 0.2, 104, ticker.nanos());
            for (int r = 0; r < 50; r++) {
                limiter.recordRequest();
            }
            total += acquireAll(limiter, 8);
        }
        assertEquals(true, total <= 0.2 * 400 + 104, "retries " + total);
        assertEquals(true, total >= 0.7 * (0.2 * 400 + 104), "retries " + total);
    }

    @Test
    void permitsRetriesAgainAfterTheWindow() {
        RetryLimiter limiter = RetryLimiter.of(ticker, 10_000, 0.2, 10, ticker.nanos());
        int first = acquireAll(limiter, 1);
        assertEquals(0, acquireAll(limiter, 1));
        ticker.advance(Duration.ofMillis(10_001));
        assertEquals(first, acquireAll(limiter, 1));
    }

    /** An instance that restarted used its part of the slack once more within the same window. */
    @Test
    void usesItsPartOfTheSlackOnlyAWindowAfterARestart() {
        RetryLimiter limiter =
                RetryLimiter.of(ticker, 10_000, 0.2, 104, Duration.ofSeconds(10).toNanos());
        assertEquals(1, acquireAll(limiter, 8));
        ticker.advance(Duration.ofMillis(10_001));
        assertEquals(10, acquireAll(limiter, 8));
    }
}
