package org.jujuberouter.supervisor;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * How many restarts a supervisor makes before it gives up.
 *
 * <p>The delay before a restart doubles with each restart within the window, so that a child that fails at once does not
 * use up the processor; a child that has run well for the window starts again at the first delay.
 *
 * @param max the restarts allowed within the window
 * @param window the time in which restarts are counted
 * @param firstDelay the delay before the first restart
 * @param longestDelay the bound of the delay
 */
public record RestartIntensity(int max, Duration window, Duration firstDelay, Duration longestDelay) {
    // 2^16 times the first delay exceeds any sensible bound; more would overflow.
    private static final int MAX_DOUBLINGS = 16;

    /** Returns 5 restarts within 30 s, 100 ms apart at first and 5 s at most. */
    public static RestartIntensity defaults() {
        return new RestartIntensity(5, Duration.ofSeconds(30), Duration.ofMillis(100), Duration.ofSeconds(5));
    }

    /** Counts the restarts of one supervisor. */
    final class Counter {
        private final Deque<Long> restarts = new ArrayDeque<>();

        /** Returns the delay before the next restart, or empty when there were too many. */
        Optional<Duration> next(long nowNanos) {
            while (!restarts.isEmpty() && nowNanos - restarts.peekFirst() >= window.toNanos()) {
                restarts.removeFirst();
            }
            if (restarts.size() >= max) {
                return Optional.empty();
            }
            Duration delay = firstDelay.multipliedBy(1L << Math.min(restarts.size(), MAX_DOUBLINGS));
            restarts.addLast(nowNanos);
            return Optional.of(delay.compareTo(longestDelay) < 0 ? delay : longestDelay);
        }
    }
}
