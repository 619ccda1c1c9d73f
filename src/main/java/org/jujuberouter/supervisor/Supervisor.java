package org.jujuberouter.supervisor;

import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.jujuberouter.misc.Ticker;

/**
 * Starts children in order, restarts those that end, and stops them in reverse order.
 *
 * <p>After the start one virtual thread makes all decisions, from a queue of events, so the order of stops and restarts
 * needs no locks. When children end more often than the restart intensity allows, the supervisor stops the rest and ends
 * with an exception, which its own supervisor or the process then handles.
 */
public final class Supervisor implements RunningChild, AutoCloseable {
    private static final System.Logger LOG = System.getLogger(Supervisor.class.getName());

    /** How long a child that was ended by force has to end, before it is left behind. */
    private static final Duration KILL_WAIT = Duration.ofSeconds(1);

    private final String name;
    private final RestartStrategy strategy;
    private final RestartIntensity intensity;
    private final RestartIntensity.Counter counter;
    private final List<ChildSpec> specs;
    private final Ticker ticker;
    private final RunningChild[] running;
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final StopSignal stop = new StopSignal();
    private final boolean[] wanted;

    private Supervisor(
            String name, RestartStrategy strategy, RestartIntensity intensity, List<ChildSpec> specs, Ticker ticker) {
        this.name = name;
        this.strategy = strategy;
        this.intensity = intensity;
        this.counter = intensity.new Counter();
        this.specs = List.copyOf(specs);
        this.ticker = ticker;
        this.running = new RunningChild[specs.size()];
        this.wanted = new boolean[specs.size()];
    }

    /** Returns a supervisor that has not started its children. */
    public static Supervisor of(
            String name, RestartStrategy strategy, RestartIntensity intensity, List<ChildSpec> specs) {
        return new Supervisor(name, strategy, intensity, specs, Ticker.system());
    }

    /** Starts the children in order; when one does not start, stops those before it and throws. */
    public void start() throws SupervisorException {
        Arrays.fill(wanted, true);
        Optional<Failure> failed = startMissing();
        if (failed.isPresent()) {
            stopAll();
            Failure f = failed.get();
            SupervisorException failure =
                    SupervisorException.startFailed(name, specs.get(f.child()).name(), f.cause());
            ended.completeExceptionally(failure);
            throw failure;
        }
        Thread.ofVirtual().name("supervisor-" + name).start(this::decide);
    }

    /** Waits until the supervisor was stopped; throws when it gave up instead. */
    public void awaitEnd() throws SupervisorException, InterruptedException {
        try {
            ended.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof SupervisorException s) {
                throw s;
            }
            throw new IllegalStateException(e.getCause());
        }
    }

    /** Stops the children in reverse order, each within its timeout, and waits for them; only after {@link #start}. */
    @Override
    public void close() {
        requestStop();
        ended.exceptionally(e -> null).join();
    }

    @Override
    public CompletableFuture<Void> ended() {
        return ended;
    }

    @Override
    public void requestStop() {
        stop.request();
        events.add(new StopRequested());
    }

    @Override
    public void kill() {
        // The children's own timeouts bound the stop, so there is nothing to force.
    }

    private void decide() {
        try {
            while (true) {
                if (events.take() instanceof ChildEnded end) {
                    if (running[end.child()] == end.run() && !handle(end)) {
                        break;
                    }
                } else {
                    break;
                }
            }
            stopAll();
            ended.complete(null);
        } catch (SupervisorException e) {
            LOG.log(Level.ERROR, "[supervisor] gave up: " + e.getMessage());
            stopAll();
            ended.completeExceptionally(e);
        } catch (InterruptedException | RuntimeException e) {
            LOG.log(Level.ERROR, "[supervisor] ended unexpectedly", e);
            stopAll();
            ended.completeExceptionally(e);
        }
    }

    /** Restarts what the end of a child requires; returns false when a stop was requested meanwhile. */
    private boolean handle(ChildEnded end) throws SupervisorException, InterruptedException {
        running[end.child()] = null;
        if (end.cause() == null && specs.get(end.child()).restart() == ChildSpec.Restart.TRANSIENT) {
            wanted[end.child()] = false;
            log(Level.INFO, "a child ended normally", end.child(), "none");
            return true;
        }
        Optional<Failure> failure = Optional.of(new Failure(end.child(), end.cause()));
        while (failure.isPresent()) {
            int failed = failure.get().child();
            Throwable cause = failure.get().cause();
            Optional<Duration> delay = counter.next(ticker.nanos());
            if (delay.isEmpty()) {
                throw SupervisorException.tooManyRestarts(
                        name, specs.get(failed).name(), intensity.max(), intensity.window(), cause);
            }
            log(Level.WARNING, "a child ended and will be restarted", failed, String.valueOf(cause));
            for (int i = running.length - 1; i >= 0; i--) {
                if (strategy.affects(i, failed)) {
                    stopChild(i);
                }
            }
            if (stop.await(delay.get())) {
                return false;
            }
            failure = startMissing();
        }
        return true;
    }

    private Optional<Failure> startMissing() {
        for (int i = 0; i < running.length; i++) {
            if (wanted[i] && running[i] == null) {
                try {
                    startChild(i);
                } catch (Exception e) {
                    return Optional.of(new Failure(i, e));
                }
            }
        }
        return Optional.empty();
    }

    private void startChild(int child) throws Exception {
        ChildSpec spec = specs.get(child);
        RunningChild run = spec.starter().start(spec.name());
        running[child] = run;
        run.ended().whenComplete((none, cause) -> events.add(new ChildEnded(child, run, cause)));
        log(Level.DEBUG, "started a child", child, "none");
    }

    private void stopAll() {
        for (int i = running.length - 1; i >= 0; i--) {
            stopChild(i);
        }
    }

    private void stopChild(int child) {
        RunningChild run = running[child];
        running[child] = null;
        if (run == null) {
            return;
        }
        run.requestStop();
        if (endsWithin(run, specs.get(child).stopTimeout())) {
            return;
        }
        run.kill();
        log(Level.WARNING, "a child did not stop in time and was ended by force", child, "stop timeout");
        if (!endsWithin(run, KILL_WAIT)) {
            log(Level.ERROR, "a child could not be ended and was left behind", child, "stop timeout");
        }
    }

    private static boolean endsWithin(RunningChild run, Duration wait) {
        try {
            run.ended().get(wait.toMillis(), TimeUnit.MILLISECONDS);
            return true;
        } catch (ExecutionException e) {
            return true;
        } catch (TimeoutException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private void log(Level level, String sentence, int child, String cause) {
        LOG.log(
                level,
                "[supervisor] " + sentence,
                Map.entry("supervisor", name),
                Map.entry("child", specs.get(child).name()),
                Map.entry("cause", cause));
    }

    private record Failure(int child, Throwable cause) {}

    private sealed interface Event {}

    private record StopRequested() implements Event {}

    private record ChildEnded(int child, RunningChild run, Throwable cause) implements Event {}
}
