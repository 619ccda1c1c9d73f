package org.jujuberouter.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards callers against a store that is away, slow or loses replies, on separate processes. */
@Tag("process")
class StoreFailuresTest {
    /** Guards against completions that need the store, and against credits that run without a record. */
    @Test
    void servesCompletionsAndRefusesKeyedCreditsWhileTheStoreIsAway() throws Exception {
        try (Site site = Site.start(2, 2, 5)) {
            site.storeFault("kind=unavailable");
            long end = System.nanoTime() + Duration.ofSeconds(20).toNanos();
            Callers callers = Callers.start(site, 0, 2, 20, end);
            Callers others = Callers.start(site, 1, 2, 20, end);
            Thread.sleep(1000);
            site.credit(0, "early").join().assertRefused(503, "store_unavailable");
            Thread.sleep(12_000);
            site.credit(1, "late").join().assertRefused(503, "store_unavailable");
            int lapsed = callers.done() + others.done();
            callers.assertAllWhole();
            others.assertAllWhole();
            int afterLapse = callers.done() + others.done() - lapsed;
            assertTrue(afterLapse >= 10, "only " + afterLapse + " answers after the leases lapsed");
            site.storeFault("kind=slow&delay-ms=1500");
            Callers slow = Callers.start(site, 0, 4, 20, System.nanoTime() + 3_000_000_000L);
            slow.assertAllWhole();
            site.storeFault("kind=none");
            assertEquals(0, site.executions("early") + site.executions("late"));
            long took = Site.await(
                    Duration.ofSeconds(10),
                    "a credit runs again",
                    () -> site.credit(1, "late").join().status() == 201);
            assertEquals(1, site.executions("late"));
            Measured.print(
                    "store away 20 s: %d answers, %d of them after the leases lapsed; slow store: %d; credit back in %d ms",
                    callers.done() + others.done(), afterLapse, slow.done(), took);
        }
    }

    /** Guards against a credit that runs twice or never because the reply to its record was lost. */
    @Test
    void runsACreditOnceWhenTheStoreLosesTheReplyToItsRecord() throws Exception {
        try (Site site = Site.start(1, 2, 5)) {
            for (int times = 1; times <= 3; times++) {
                String key = "lost-reply-" + times;
                site.storeFault("kind=lose-reply&prefix=once/&times=" + times);
                assertEquals(201, site.credit(0, key).join().status());
                Answer again = site.credit(1, key).join();
                assertTrue(again.replayed() && again.status() == 201 || again.status() == 409, again.toString());
                assertEquals(1, site.executions(key));
                Measured.print("%d lost replies: ran once, resend got %d", times, again.status());
                site.storeFault("kind=none");
            }
        }
    }
}
