package org.jujuberouter.demo;

import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Predicate;

/**
 * Starts a small site, sends typical requests, injects faults and checks the result of each request.
 *
 * <p>The requests of a step run concurrently. A step passes if all of its requests have the expected result.
 */
public final class Demo {
    private static final int INSTANCES = 3;
    private static final int ENGINES = 6;

    private final DemoSite site;
    private final DemoCaller caller;
    private final PrintStream out;
    private final List<DemoStepResult> results = new ArrayList<>();

    private Demo(DemoSite site, PrintStream out) {
        this.site = site;
        this.caller = DemoCaller.of(site.callerAddresses(), DemoSettings.API_KEY);
        this.out = out;
    }

    /** Runs all steps and returns whether all of them passed. */
    public static boolean run(PrintStream out) throws Exception {
        try (DemoSite site = DemoSite.start(INSTANCES, ENGINES)) {
            Demo demo = new Demo(site, out);
            out.printf("%-48s %6s %9s %9s  %s%n", "step", "sent", "passed", "max ms", "result");
            demo.awaitReady();
            demo.runCompletions();
            demo.runRejectedRequests();
            demo.runNonIdempotentCalls();
            demo.runEngineFaults();
            boolean passed = demo.results.stream().allMatch(DemoStepResult::passed);
            out.println(passed ? "all steps passed" : "some steps failed");
            return passed;
        }
    }

    /** Starts the site, prints its addresses and keeps it running until the thread is interrupted. */
    public static void runUntilInterrupted(PrintStream out) throws Exception {
        try (DemoSite site = DemoSite.start(INSTANCES, ENGINES)) {
            new Demo(site, out).awaitReady();
            out.println("instances: http://" + String.join(", http://", site.callerAddresses()));
            out.println("customer API key: " + DemoSettings.API_KEY);
            out.println("store: " + site.store().address() + ", control address: "
                    + site.store().controlAddress());
            out.println("engine, bypassing the instances: http://"
                    + site.engines().getFirst().address());
            out.flush();
            Thread.sleep(Long.MAX_VALUE);
        }
    }

    private void awaitReady() throws Exception {
        long deadlineNanos = System.nanoTime() + 20_000_000_000L;
        while (System.nanoTime() < deadlineNanos) {
            DemoCaller.CallerResult response = caller.complete("warm", 10, 1, 0);
            if (response.correct()) {
                return;
            }
            Thread.sleep(200);
        }
        throw new IOException("no instance was ready within 20 s");
    }

    private void runCompletions() throws Exception {
        runStep(
                "short prompts, 1 k tokens",
                30,
                i -> caller.complete("s" + i, 1_000, 40, 0),
                DemoCaller.CallerResult::correct);
        runStep(
                "medium prompts, 10 k tokens",
                6,
                i -> caller.complete("m" + i, 10_000, 40, 0),
                DemoCaller.CallerResult::correct);
        runStep(
                "long prompts, 100 k tokens",
                2,
                i -> caller.complete("l" + i, 100_000, 40, 0),
                DemoCaller.CallerResult::correct);
        runStep(
                "slow reader, 4 kB/s",
                4,
                i -> caller.complete("r" + i, 1_000, 200, 4_000),
                DemoCaller.CallerResult::correct);
    }

    private void runRejectedRequests() throws Exception {
        runStep(
                "prompt too large for any engine, not-run",
                1,
                _ -> caller.complete("big", 1_000_000, 10, 0),
                s -> s.status() == 413 && s.outcome().equals("not-run"));
        runStep(
                "malformed body, not-run",
                1,
                _ -> caller.post(0, "/v1/completions", "{\"model\":", null),
                s -> s.status() == 400 && s.outcome().equals("not-run"));
    }

    private void runNonIdempotentCalls() throws Exception {
        runStep(
                "credit posted once",
                20,
                i -> caller.post(i, "/services/ledger/credits", creditBody(i), "credit-" + i),
                s -> s.status() == 201);
        runStep(
                "retry at another instance, response replayed",
                20,
                i -> caller.post(i + 1, "/services/ledger/credits", creditBody(i), "credit-" + i),
                s -> s.status() == 201);
        check("each of these credits executed exactly once", 20, i -> site.executions("credit-" + i) == 1);
        site.ledger(0).loseReplies(4);
        site.ledger(1).loseReplies(4);
        runStep(
                "credits with lost response report may-have-run",
                30,
                i -> caller.post(i, "/services/ledger/credits", creditBody(i), "lost-" + i),
                s -> s.status() == 201 || s.outcome().equals("may-have-run"));
        site.ledger(0).loseReplies(0);
        site.ledger(1).loseReplies(0);
        runStep(
                "retry replayed, or rejected as duplicate",
                30,
                i -> caller.post(i + 1, "/services/ledger/credits", creditBody(i), "lost-" + i),
                s -> s.status() == 201 || s.status() == 409);
        check("none of these credits executed twice", 30, i -> site.executions("lost-" + i) <= 1);
    }

    private void runEngineFaults() throws Exception {
        Thread faultThread = Thread.ofVirtual().start(() -> {
            sleep(400);
            site.engines().get(0).silenceOpenStreams();
            sleep(300);
            site.engines().get(1).model().crash("killed by the demo");
        });
        runStep(
                "engine crash and a stalled connection",
                24,
                i -> caller.complete("f" + i, 1_000, 80, 0),
                DemoCaller.CallerResult::correct);
        faultThread.join();
    }

    private static String creditBody(int i) {
        return "{\"member\":" + i + ",\"trays\":30}";
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends one request of a step. */
    @FunctionalInterface
    private interface RequestSender {
        DemoCaller.CallerResult send(int i) throws IOException;
    }

    private void runStep(String name, int count, RequestSender sender, Predicate<DemoCaller.CallerResult> expectation)
            throws Exception {
        List<DemoCaller.CallerResult> responses = new ArrayList<>();
        try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<DemoCaller.CallerResult>> futures = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                int n = i;
                Callable<DemoCaller.CallerResult> task = () -> sender.send(n);
                futures.add(executor.submit(task));
            }
            for (Future<DemoCaller.CallerResult> future : futures) {
                responses.add(await(future));
            }
        }
        int asExpected = (int) responses.stream().filter(expectation).count();
        long maxMillis = responses.stream()
                .mapToLong(DemoCaller.CallerResult::millis)
                .max()
                .orElse(0);
        String note = responses.stream()
                .filter(expectation.negate())
                .findFirst()
                .or(() -> responses.stream().findFirst())
                .map(s -> s.status() + " " + s.outcome())
                .orElse("");
        addResult(new DemoStepResult(name, count, asExpected, maxMillis, note));
    }

    private static DemoCaller.CallerResult await(Future<DemoCaller.CallerResult> future) throws InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException e) {
            return new DemoCaller.CallerResult(0, "", false, 0, String.valueOf(e.getCause()));
        }
    }

    private void check(String name, int count, Predicate<Integer> expectation) {
        int asExpected = 0;
        for (int i = 0; i < count; i++) {
            asExpected += expectation.test(i) ? 1 : 0;
        }
        addResult(new DemoStepResult(name, count, asExpected, 0, ""));
    }

    private void addResult(DemoStepResult result) {
        results.add(result);
        out.println(result);
    }
}
