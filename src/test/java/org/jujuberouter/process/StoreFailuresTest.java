package org.jujuberouter.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Checks what callers get while the store is unavailable, slow or loses replies, with separate processes. */
@Tag("process")
class StoreFailuresTest {
    /** Guards against completions that depend on the store and keyed calls that are executed without a record. */
    @Test
    void servesCompletionsAndRefusesKeyedCreditsWhileTheStoreIsUnavailable() throws Exception {
        try (TestCluster cluster = TestCluster.start(2, 2, 5)) {
            cluster.storeFault("kind=unavailable");
            long endNanos = System.nanoTime() + Duration.ofSeconds(20).toNanos();
            ClosedLoopCallers firstCallers = ClosedLoopCallers.start(cluster, 0, 2, 20, endNanos);
            ClosedLoopCallers secondCallers = ClosedLoopCallers.start(cluster, 1, 2, 20, endNanos);
            Thread.sleep(1000);
            cluster.postCredit(0, "early").join().assertRefused(503, "store_unavailable");
            Thread.sleep(12_000);
            cluster.postCredit(1, "late").join().assertRefused(503, "store_unavailable");
            int beforeExpiry = firstCallers.completed() + secondCallers.completed();
            firstCallers.assertAllComplete();
            secondCallers.assertAllComplete();
            int afterExpiry = firstCallers.completed() + secondCallers.completed() - beforeExpiry;
            assertTrue(afterExpiry >= 10, "only " + afterExpiry + " answers after the leases expired");
            cluster.storeFault("kind=slow&delay-ms=1500");
            ClosedLoopCallers slowStoreCallers =
                    ClosedLoopCallers.start(cluster, 0, 4, 20, System.nanoTime() + 3_000_000_000L);
            slowStoreCallers.assertAllComplete();
            cluster.storeFault("kind=none");
            assertEquals(0, cluster.executionCount("early") + cluster.executionCount("late"));
            long recoveryMs = TestCluster.await(
                    Duration.ofSeconds(10),
                    "a keyed credit is executed again",
                    () -> cluster.postCredit(1, "late").join().status() == 201);
            assertEquals(1, cluster.executionCount("late"));
            MeasurementLog.print(
                    "store away 20 s: %d answers, %d of them after the leases lapsed; slow store: %d; credit back in %d ms",
                    firstCallers.completed() + secondCallers.completed(),
                    afterExpiry,
                    slowStoreCallers.completed(),
                    recoveryMs);
        }
    }

    /** Guards against a credit that is executed twice or never because the store's reply to its record was lost. */
    @Test
    void runsACreditOnceWhenTheStoreLosesTheReplyToItsRecord() throws Exception {
        try (TestCluster cluster = TestCluster.start(1, 2, 5)) {
            for (int times = 1; times <= 3; times++) {
                String key = "lost-reply-" + times;
                cluster.storeFault("kind=lose-reply&prefix=once/&times=" + times);
                assertEquals(201, cluster.postCredit(0, key).join().status());
                Answer resent = cluster.postCredit(1, key).join();
                assertTrue(resent.replayed() && resent.status() == 201 || resent.status() == 409, resent.toString());
                assertEquals(1, cluster.executionCount(key));
                MeasurementLog.print("%d lost replies: ran once, resend got %d", times, resent.status());
                cluster.storeFault("kind=none");
            }
        }
    }
}
