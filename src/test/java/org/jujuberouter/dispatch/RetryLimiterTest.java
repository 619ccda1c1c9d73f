package org.jujuberouter.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/** Guards against retries that exceed the budget of all instances together. */
class RetryLimiterTest {
    private final ManualTicker ticker = ManualTicker.atZero();

    private static int take(RetryLimiter allowance, int instances) {
        int n = 0;
        while (n < 10_000 && allowance.tryAcquire(instances)) {
            n++;
        }
        return n;
    }

    @Test
    void sumsUpToLessThanTheBudgetOfAllInstances() {
        int sum = 0;
        for (int i = 0; i < 8; i++) {
            RetryLimiter allowance = RetryLimiter.of(ticker, 10_000, 0.2, 104);
            for (int r = 0; r < 50; r++) {
                allowance.recordRequest();
            }
            sum += take(allowance, 8);
        }
        assertEquals(true, sum <= 0.2 * 400 + 104, "retries " + sum);
        assertEquals(true, sum >= 0.7 * (0.2 * 400 + 104), "retries " + sum);
    }

    @Test
    void givesRetriesBackWhenTheWindowHasPassed() {
        RetryLimiter allowance = RetryLimiter.of(ticker, 10_000, 0.2, 10);
        int first = take(allowance, 1);
        assertEquals(0, take(allowance, 1));
        ticker.advance(Duration.ofMillis(10_001));
        assertEquals(first, take(allowance, 1));
    }
}
