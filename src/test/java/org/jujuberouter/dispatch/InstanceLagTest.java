package org.jujuberouter.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/** Guards against freezes and slow engines that are taken for lag of the instance, and against lag that is not noticed. */
class InstanceLagTest {
    private static final int LARGE = 1_000_000;

    private final ManualTicker ticker = ManualTicker.atZero();
    private final LoopLag loop = LoopLag.of(ticker);
    private final LinkLag link = LinkLag.of(ticker);

    private void runTimer(int times, long delayMs) {
        for (int i = 0; i < times; i++) {
            ticker.advance(Duration.ofMillis(loop.intervalMs() + delayMs));
            loop.timerRan();
        }
    }

    private void write(long bytes, long ms, boolean whole) {
        LinkLag.Write write = link.begin(bytes);
        ticker.advance(Duration.ofMillis(ms));
        write.end(whole);
    }

    /** A loop that is slow for a second has to show, or calls queue up unnoticed. */
    @Test
    void measuresALagAfterTwoLateRuns() {
        runTimer(3, 1);
        runTimer(1, 300);
        assertEquals(1, loop.ms());
        runTimer(1, 300);
        assertEquals(300, loop.ms());
        runTimer(2, 0);
        assertEquals(0, loop.ms());
    }

    /** A process that is stopped for seconds once does not lag. */
    @Test
    void takesNoFreezeForLag() {
        runTimer(3, 1);
        ticker.advance(Duration.ofSeconds(6));
        assertEquals(1, loop.ms(), "events that are handled before the timer runs");
        loop.timerRan();
        assertEquals(1, loop.ms());
        runTimer(2, 2);
        assertEquals(2, loop.ms());
    }

    /** An overdue timer shows the lag of a long turn to the calls that are read in it. */
    @Test
    void countsATimerThatIsOverdueAfterALateRun() {
        runTimer(3, 1);
        runTimer(1, 300);
        ticker.advance(Duration.ofMillis(loop.intervalMs() + 200));
        assertEquals(200, loop.ms());
    }

    @Test
    void predictsTheTimeOfARequestOnABusyLink() {
        LinkLag.Write unsent = link.begin(LARGE);
        for (int i = 0; i < 5; i++) {
            write(LARGE, 600, true);
        }
        assertEquals(300, link.delayMs(LARGE / 2), 1e-6);
        assertEquals(LARGE, link.unsentBytes());
        unsent.end(true);
        assertEquals(0, link.delayMs(LARGE), "a free link delays nothing");
        assertEquals(0, link.unsentBytes());
    }

    /** An engine that does not read its requests is not a slow link; neither are two that read slowly. */
    @Test
    void takesNoEngineThatReadsSlowlyForASlowLink() {
        LinkLag.Write stuck = link.begin(LARGE);
        for (int i = 0; i < 3; i++) {
            write(LARGE, 1, true);
        }
        write(LARGE, 1_000, true);
        write(LARGE, 1_000, true);
        write(LARGE, 1_500, false);
        assertTrue(link.delayMs(LARGE) <= 1, "delay: " + link.delayMs(LARGE));
        stuck.end(false);
        stuck.end(false);
        assertEquals(0, link.unsentBytes());
    }
}
