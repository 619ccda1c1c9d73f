package org.jujuberouter.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/** Guards against calls that an overloaded instance makes late, and against rejections of calls that it could serve. */
class LateCallsTest {
    private static final long SHORT_PROMPT_BYTES = 4_096;
    private static final long LARGE_PROMPT_BYTES = 4_000_000;

    private final ManualTicker ticker = ManualTicker.atZero();
    private final LoopLag loop = LoopLag.of(ticker);
    private final LinkLag link = LinkLag.of(ticker);
    private final LateCalls calls = LateCalls.of(loop, link);

    private void setLoopLag(long ms) {
        for (int i = 0; i < 5; i++) {
            ticker.advance(Duration.ofMillis(loop.intervalMs() + ms));
            loop.timerRan();
        }
    }

    /** An instance with 0.36 cores that reads calls 120 ms late serves none within 300 ms, but long prompts it does. */
    @Test
    void rejectsOnlyCallsThatTheLoopAloneMakesLate() {
        setLoopLag(99);
        assertFalse(calls.isLate(SHORT_PROMPT_BYTES, 300));
        setLoopLag(120);
        assertTrue(calls.isLate(SHORT_PROMPT_BYTES, 300));
        assertFalse(calls.isLate(SHORT_PROMPT_BYTES, 2_500));
        assertFalse(calls.isLate(SHORT_PROMPT_BYTES, 0), "a call without an objective is never late");
        setLoopLag(1);
        assertFalse(calls.isLate(SHORT_PROMPT_BYTES, 300));
    }

    /** At 14 Mbit/s a prompt of 4 MB takes 2.3 s to write, and a short one 2 ms. */
    @Test
    void rejectsLargeCallsThatTheLinkAloneMakesLate() {
        for (int i = 0; i < 3; i++) {
            LinkLag.Write write = link.begin(LARGE_PROMPT_BYTES);
            ticker.advance(Duration.ofMillis(2_283));
            write.end(true);
        }
        link.begin(LARGE_PROMPT_BYTES);
        assertTrue(calls.isLate(LARGE_PROMPT_BYTES, 2_000));
        assertFalse(calls.isLate(LARGE_PROMPT_BYTES, 2_500));
        assertFalse(calls.isLate(SHORT_PROMPT_BYTES, 300));
    }

    @Test
    void spreadsRetriesOverTheDelayAndAtMostASecond() {
        setLoopLag(100);
        assertEquals(0, calls.retryAfterMs(SHORT_PROMPT_BYTES, 0));
        assertEquals(150, calls.retryAfterMs(SHORT_PROMPT_BYTES, 0.5));
        setLoopLag(5_000);
        assertEquals(1_000, calls.retryAfterMs(SHORT_PROMPT_BYTES, 1));
    }

    @Test
    void startsNewCallsLastWhileTheLoopLags() {
        setLoopLag(5);
        assertFalse(calls.startsNewCallsLast());
        setLoopLag(50);
        assertTrue(calls.startsNewCallsLast());
    }
}
