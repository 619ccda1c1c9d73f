package org.jujuberouter.supervisor;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Tells a worker that it is to end. */
public final class StopSignal {
    private final CountDownLatch requested = new CountDownLatch(1);

    StopSignal() {}

    /** Tells whether the worker is to end. */
    public boolean isRequested() {
        return requested.getCount() == 0;
    }

    /** Waits for the given time and tells whether the worker is to end. */
    public boolean await(Duration wait) throws InterruptedException {
        return requested.await(wait.toNanos(), TimeUnit.NANOSECONDS);
    }

    void request() {
        requested.countDown();
    }
}
