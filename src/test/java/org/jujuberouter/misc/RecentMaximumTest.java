package org.jujuberouter.misc;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against a maximum that forgets a value within the window or keeps one after it. */
class RecentMaximumTest {
    private final ManualTicker ticker = ManualTicker.atZero();
    private final RecentMaximum maximum = RecentMaximum.of(ticker, 1_000, 1);

    private void setAfter(long millis, int value) {
        ticker.advance(Duration.ofMillis(millis));
        maximum.set(value);
    }

    @Test
    void keepsAFormerValueForOneWindowAfterItsEnd() {
        setAfter(0, 8);
        setAfter(5_000, 3);
        setAfter(600, 5);
        setAfter(300, 2);
        assertEquals(8, maximum.get());
        ticker.advance(Duration.ofMillis(101));
        assertEquals(5, maximum.get());
        ticker.advance(Duration.ofMillis(900));
        assertEquals(2, maximum.get());
    }

    @Test
    void followsALargerValueAtOnce() {
        assertEquals(1, maximum.get());
        setAfter(10, 4);
        assertEquals(4, maximum.get());
    }
}
