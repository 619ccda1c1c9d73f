package org.jujuberouter.supervisor;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Signals to a worker that it should stop. */
public final class StopSignal {
    private final CountDownLatch requested = new CountDownLatch(1);

    StopSignal() {}

    /** Returns whether a stop was requested. */
    public boolean isRequested() {
        return requested.getCount() == 0;
    }

    /** Waits for a stop request for up to the given time; returns whether a stop was requested. */
    public boolean await(Duration wait) throws InterruptedException {
        return requested.await(wait.toNanos(), TimeUnit.NANOSECONDS);
    }

    void request() {
        requested.countDown();
    }
}
