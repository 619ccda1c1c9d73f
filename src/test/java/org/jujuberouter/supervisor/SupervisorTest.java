package org.jujuberouter.supervisor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against components that are not restarted, restart without limit or stop in the wrong order. */
@Timeout(30)
class SupervisorTest {
    private static final RestartIntensity QUICK =
            new RestartIntensity(3, Duration.ofSeconds(60), Duration.ofMillis(1), Duration.ofMillis(4));
    private static final RestartStrategy ONE = new RestartStrategy.OneForOne();
    private static final RestartStrategy ALL = new RestartStrategy.OneForAll();

    private final List<String> log = Collections.synchronizedList(new ArrayList<>());
    private final LinkedBlockingQueue<String> commands = new LinkedBlockingQueue<>();

    @Test
    void startsInOrderAndStopsInReverse() throws Exception {
        Supervisor supervisor = Supervisor.of("s", ONE, QUICK, List.of(resource("a"), resource("b"), resource("c")));
        supervisor.start();
        supervisor.close();
        supervisor.awaitEnd();
        assertEquals(List.of("+a", "+b", "+c", "-c", "-b", "-a"), log);
    }

    @Test
    void stopsTheStartedChildrenWhenAChildDoesNotStart() {
        ChildSpec failing = ChildSpec.resource("b", () -> {
            throw new IllegalStateException("port in use");
        });
        Supervisor supervisor = Supervisor.of("s", ONE, QUICK, List.of(resource("a"), failing, resource("c")));
        SupervisorException e = assertThrows(SupervisorException.class, supervisor::start);
        assertTrue(e.getMessage().contains("child \"b\" of \"s\" did not start"), e.getMessage());
        assertEquals(List.of("+a", "-a"), log);
    }

    @Test
    void restartsOnlyTheFailedChildOrAllByStrategy() throws Exception {
        runWithOneFailure(ONE);
        assertEquals(List.of("+a", "+w", "+c", "+w", "-c", "-a"), log);
        log.clear();
        runWithOneFailure(ALL);
        assertEquals(List.of("+a", "+w", "+c", "-c", "-a", "+a", "+w", "+c", "-c", "-a"), log);
    }

    @Test
    void restartsATransientChildOnlyAfterAFailure() throws Exception {
        Supervisor supervisor =
                Supervisor.of("s", ALL, QUICK, List.of(worker("w").restartedOnFailureOnly()));
        supervisor.start();
        commands.add("fail");
        awaitLog(2);
        commands.add("end");
        while (!commands.isEmpty()) {
            Thread.sleep(1);
        }
        Thread.sleep(50);
        supervisor.close();
        assertEquals(List.of("+w", "+w"), log);
    }

    @Test
    void failsAfterTooManyRestartsAndIsRestartedByItsParent() throws Exception {
        ChildSpec inner = ChildSpec.supervisor(
                "inner", () -> Supervisor.of("inner", ONE, QUICK, List.of(resource("a"), worker("w"))));
        Supervisor outer = Supervisor.of("outer", ONE, QUICK, List.of(inner));
        outer.start();
        for (int i = 0; i < 4; i++) {
            commands.add("fail");
            awaitLog(i < 3 ? i + 3 : 8);
        }
        assertEquals(List.of("+a", "+w", "+w", "+w", "+w", "-a", "+a", "+w"), log);
        for (int i = 0; i < 12; i++) {
            commands.add("end");
        }
        SupervisorException e = assertThrows(SupervisorException.class, outer::awaitEnd);
        assertTrue(e.getMessage().contains("after 3 restarts"), e.getMessage());
    }

    @Test
    void interruptsAChildThatDoesNotStopInTime() throws Exception {
        CountDownLatch neverReleased = new CountDownLatch(1);
        ChildSpec stuck = ChildSpec.worker("w", stop -> {
                    try {
                        neverReleased.await();
                    } finally {
                        log.add("interrupted");
                    }
                })
                .withStopTimeout(Duration.ofMillis(50));
        Supervisor supervisor = Supervisor.of("s", ONE, QUICK, List.of(resource("a"), stuck));
        supervisor.start();
        supervisor.close();
        assertEquals(List.of("+a", "interrupted", "-a"), log);
    }

    @Test
    void stopsDuringTheDelayBeforeARestart() throws Exception {
        RestartIntensity longDelay =
                new RestartIntensity(3, Duration.ofSeconds(60), Duration.ofHours(1), Duration.ofHours(1));
        Supervisor supervisor = Supervisor.of("s", ONE, longDelay, List.of(resource("a"), worker("w")));
        supervisor.start();
        commands.add("fail");
        awaitLog(2);
        supervisor.close();
        assertEquals(List.of("+a", "+w", "-a"), log);
    }

    @Test
    void doublesTheDelayAndIgnoresRestartsBeforeTheWindow() {
        RestartIntensity intensity =
                new RestartIntensity(3, Duration.ofSeconds(10), Duration.ofMillis(100), Duration.ofMillis(300));
        RestartIntensity.RestartCounter counter = intensity.new RestartCounter();
        assertEquals(Optional.of(Duration.ofMillis(100)), counter.nextDelay(0));
        assertEquals(Optional.of(Duration.ofMillis(200)), counter.nextDelay(1));
        assertEquals(Optional.of(Duration.ofMillis(300)), counter.nextDelay(2));
        assertEquals(Optional.empty(), counter.nextDelay(3));
        assertEquals(Optional.of(Duration.ofMillis(100)), counter.nextDelay(TimeUnit.SECONDS.toNanos(11)));
    }

    private void runWithOneFailure(RestartStrategy strategy) throws Exception {
        Supervisor supervisor = Supervisor.of("s", strategy, QUICK, List.of(resource("a"), worker("w"), resource("c")));
        supervisor.start();
        awaitLog(3);
        int expectedLogSize = strategy == ONE ? 4 : 8;
        commands.add("fail");
        awaitLog(expectedLogSize);
        supervisor.close();
    }

    private ChildSpec resource(String name) {
        return ChildSpec.resource(name, () -> {
            log.add("+" + name);
            return () -> log.add("-" + name);
        });
    }

    /** Returns a worker that terminates on the command {@code end} and fails on the command {@code fail}. */
    private ChildSpec worker(String name) {
        return new ChildSpec(name, ChildSpec.Restart.PERMANENT, Duration.ofSeconds(5), childName -> {
            CountDownLatch started = new CountDownLatch(1);
            RunningChild child = WorkerChild.start(
                    childName,
                    stop -> {
                        log.add("+" + childName);
                        started.countDown();
                        if (commands.take().equals("fail")) {
                            throw new IllegalStateException("commanded");
                        }
                    },
                    true);
            started.await();
            return child;
        });
    }

    private void awaitLog(int size) throws InterruptedException {
        while (log.size() < size) {
            Thread.sleep(1);
        }
    }
}
