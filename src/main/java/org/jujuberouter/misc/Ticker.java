package org.jujuberouter.misc;

/** A monotonic time source; decision logic reads time only through it. */
@FunctionalInterface
public interface Ticker {
    /** Returns the nanoseconds since an arbitrary fixed origin. */
    long nanos();

    /** Returns the milliseconds since the same origin. */
    default long millis() {
        return nanos() / 1_000_000L;
    }

    /** Returns the ticker of this machine. */
    static Ticker system() {
        return System::nanoTime;
    }
}
