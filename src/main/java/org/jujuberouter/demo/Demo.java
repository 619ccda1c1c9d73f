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
 * Starts a small site, causes everyday requests and faults, and checks what each caller got.
 *
 * <p>Each step runs its requests at the same time. A step holds when all of its requests got what is promised.
 */
public final class Demo {
    private static final int INSTANCES = 3;
    private static final int ENGINES = 6;

    private final DemoSite site;
    private final DemoCaller caller;
    private final PrintStream out;
    private final List<DemoRow> rows = new ArrayList<>();

    private Demo(DemoSite site, PrintStream out) {
        this.site = site;
        this.caller = DemoCaller.of(site.callerAddresses(), DemoSettings.API_KEY);
        this.out = out;
    }

    /** Runs all steps and returns whether every promise held. */
    public static boolean run(PrintStream out) throws Exception {
        try (DemoSite site = DemoSite.start(INSTANCES, ENGINES)) {
            Demo demo = new Demo(site, out);
            out.printf("%-48s %6s %9s %9s  %s%n", "step", "sent", "promised", "worst ms", "seen");
            demo.awaitReady();
            demo.prompts();
            demo.refusals();
            demo.credits();
            demo.faults();
            boolean held = demo.rows.stream().allMatch(DemoRow::holds);
            out.println(held ? "every promise of this run held" : "a promise of this run broke");
            return held;
        }
    }

    /** Starts the site, prints where it can be reached, and keeps it until the thread is interrupted. */
    public static void runUntilInterrupted(PrintStream out) throws Exception {
        try (DemoSite site = DemoSite.start(INSTANCES, ENGINES)) {
            new Demo(site, out).awaitReady();
            out.println("instances for callers: http://" + String.join(", http://", site.callerAddresses()));
            out.println("customer's API key: " + DemoSettings.API_KEY);
            out.println("store: " + site.store().address() + ", its control: "
                    + site.store().controlAddress());
            out.println("an engine without an instance between: http://"
                    + site.engines().getFirst().address());
            out.flush();
            Thread.sleep(Long.MAX_VALUE);
        }
    }

    private void awaitReady() throws Exception {
        long deadline = System.nanoTime() + 20_000_000_000L;
        while (System.nanoTime() < deadline) {
            DemoCaller.Seen seen = caller.complete("warm", 10, 1, 0);
            if (seen.whole()) {
                return;
            }
            Thread.sleep(200);
        }
        throw new IOException("no instance was ready within 20 s");
    }

    private void prompts() throws Exception {
        step("short prompts, 1 k tokens", 30, i -> caller.complete("s" + i, 1_000, 40, 0), DemoCaller.Seen::whole);
        step("medium prompts, 10 k tokens", 6, i -> caller.complete("m" + i, 10_000, 40, 0), DemoCaller.Seen::whole);
        step("long prompts, 100 k tokens", 2, i -> caller.complete("l" + i, 100_000, 40, 0), DemoCaller.Seen::whole);
        step("slow reader, 4 kB/s", 4, i -> caller.complete("r" + i, 1_000, 200, 4_000), DemoCaller.Seen::whole);
    }

    private void refusals() throws Exception {
        step(
                "prompt larger than any engine is refused, not-run",
                1,
                _ -> caller.complete("big", 1_000_000, 10, 0),
                s -> s.status() == 413 && s.outcome().equals("not-run"));
        step(
                "malformed body is refused, not-run",
                1,
                _ -> caller.post(0, "/v1/completions", "{\"model\":", null),
                s -> s.status() == 400 && s.outcome().equals("not-run"));
    }

    private void credits() throws Exception {
        step(
                "credit posted once",
                20,
                i -> caller.post(i, "/services/ledger/credits", credit(i), "credit-" + i),
                s -> s.status() == 201);
        step(
                "same credits sent again elsewhere, answer replayed",
                20,
                i -> caller.post(i + 1, "/services/ledger/credits", credit(i), "credit-" + i),
                s -> s.status() == 201);
        check("each of these credits ran exactly once", 20, i -> site.executions("credit-" + i) == 1);
        site.ledger(0).loseReplies(4);
        site.ledger(1).loseReplies(4);
        step(
                "credits whose reply was lost say may-have-run",
                30,
                i -> caller.post(i, "/services/ledger/credits", credit(i), "lost-" + i),
                s -> s.status() == 201 || s.outcome().equals("may-have-run"));
        site.ledger(0).loseReplies(0);
        site.ledger(1).loseReplies(0);
        step(
                "sent again: replayed, or refused as duplicate",
                30,
                i -> caller.post(i + 1, "/services/ledger/credits", credit(i), "lost-" + i),
                s -> s.status() == 201 || s.status() == 409);
        check("none of these credits ran twice", 30, i -> site.executions("lost-" + i) <= 1);
    }

    private void faults() throws Exception {
        Thread fault = Thread.ofVirtual().start(() -> {
            pause(400);
            site.engines().get(0).silenceOpenStreams();
            pause(300);
            site.engines().get(1).model().crash("killed by the demo");
        });
        step(
                "an engine dies and a connection goes silent",
                24,
                i -> caller.complete("f" + i, 1_000, 80, 0),
                DemoCaller.Seen::whole);
        fault.join();
    }

    private static String credit(int i) {
        return "{\"member\":" + i + ",\"trays\":30}";
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** One request of a step. */
    @FunctionalInterface
    private interface Request {
        DemoCaller.Seen send(int i) throws IOException;
    }

    private void step(String name, int count, Request request, Predicate<DemoCaller.Seen> promise) throws Exception {
        List<DemoCaller.Seen> seen = new ArrayList<>();
        try (ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor()) {
            List<Future<DemoCaller.Seen>> futures = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                int n = i;
                Callable<DemoCaller.Seen> task = () -> request.send(n);
                futures.add(threads.submit(task));
            }
            for (Future<DemoCaller.Seen> future : futures) {
                seen.add(result(future));
            }
        }
        int held = (int) seen.stream().filter(promise).count();
        long worst = seen.stream().mapToLong(DemoCaller.Seen::millis).max().orElse(0);
        String note = seen.stream()
                .filter(promise.negate())
                .findFirst()
                .or(() -> seen.stream().findFirst())
                .map(s -> s.status() + " " + s.outcome())
                .orElse("");
        add(new DemoRow(name, count, held, worst, note));
    }

    private static DemoCaller.Seen result(Future<DemoCaller.Seen> future) throws InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException e) {
            return new DemoCaller.Seen(0, "", false, 0, String.valueOf(e.getCause()));
        }
    }

    private void check(String name, int count, Predicate<Integer> promise) {
        int held = 0;
        for (int i = 0; i < count; i++) {
            held += promise.test(i) ? 1 : 0;
        }
        add(new DemoRow(name, count, held, 0, ""));
    }

    private void add(DemoRow row) {
        rows.add(row);
        out.println(row);
    }
}
