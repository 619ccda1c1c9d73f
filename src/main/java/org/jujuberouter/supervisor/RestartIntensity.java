package org.jujuberouter.supervisor;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Limit on the rate of restarts, beyond which a supervisor fails.
 *
 * <p>The delay before a restart doubles with each restart within the window, so that a child that fails immediately
 * does not consume the CPU. After a window without failures the delay is back at its initial value.
 *
 * @param maxRestarts the maximum number of restarts within the window
 * @param window the sliding window in which restarts are counted
 * @param initialDelay the delay before the first restart
 * @param maxDelay the maximum delay
 */
public record RestartIntensity(int maxRestarts, Duration window, Duration initialDelay, Duration maxDelay) {
    // 2^16 times the initial delay exceeds any reasonable maximum; more doublings could overflow.
    private static final int MAX_DOUBLINGS = 16;

    /** Returns the default limit: 5 restarts within 30 s, with delays from 100 ms to 5 s. */
    public static RestartIntensity defaults() {
        return new RestartIntensity(5, Duration.ofSeconds(30), Duration.ofMillis(100), Duration.ofSeconds(5));
    }

    /** Counts the restarts made by a supervisor. */
    final class RestartCounter {
        private final Deque<Long> restarts = new ArrayDeque<>();

        /** Counts a restart and returns the delay before it; empty if the limit is exceeded. */
        Optional<Duration> nextDelay(long nowNanos) {
            while (!restarts.isEmpty() && nowNanos - restarts.peekFirst() >= window.toNanos()) {
                restarts.removeFirst();
            }
            if (restarts.size() >= maxRestarts) {
                return Optional.empty();
            }
            Duration delay = initialDelay.multipliedBy(1L << Math.min(restarts.size(), MAX_DOUBLINGS));
            restarts.addLast(nowNanos);
            return Optional.of(delay.compareTo(maxDelay) < 0 ? delay : maxDelay);
        }
    }
}
