package org.jujuberouter.misc;

import java.util.concurrent.TimeUnit;

/** Monotonic time source. Decision logic reads time only through a ticker, so that it can run on a virtual clock. */
@FunctionalInterface
public interface Ticker {
    /** Returns the nanoseconds since an arbitrary fixed origin. */
    long nanos();

    /** Returns the milliseconds since the same origin. */
    default long millis() {
        return nanos() / 1_000_000L;
    }

    /** Returns the wall clock, which can be stepped; its origin is the start of 1970. */
    static Ticker wallClock() {
        return () -> TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
    }

    /** Returns a ticker that reads {@link System#nanoTime}. */
    static Ticker system() {
        return System::nanoTime;
    }
}
