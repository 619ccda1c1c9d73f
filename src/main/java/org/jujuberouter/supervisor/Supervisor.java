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
 * Starts children in order, restarts those that terminate, and stops them in reverse order.
 *
 * <p>After the start, a single virtual thread processes a queue of events, so stops and restarts need no locks. If
 * children terminate more often than the restart intensity allows, the supervisor stops all children and terminates
 * with an exception, which is handled by its parent supervisor or by the process.
 */
public final class Supervisor implements RunningChild, AutoCloseable {
    private static final System.Logger LOG = System.getLogger(Supervisor.class.getName());

    /** How long to wait for an interrupted child to terminate before it is abandoned. */
    private static final Duration KILL_TIMEOUT = Duration.ofSeconds(1);

    private final String name;
    private final RestartStrategy strategy;
    private final RestartIntensity intensity;
    private final RestartIntensity.RestartCounter counter;
    private final List<ChildSpec> specs;
    private final Ticker ticker;
    private final RunningChild[] running;
    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final StopSignal stop = new StopSignal();
    private final boolean[] shouldRun;

    private Supervisor(
            String name, RestartStrategy strategy, RestartIntensity intensity, List<ChildSpec> specs, Ticker ticker) {
        this.name = name;
        this.strategy = strategy;
        this.intensity = intensity;
        this.counter = intensity.new RestartCounter();
        this.specs = List.copyOf(specs);
        this.ticker = ticker;
        this.running = new RunningChild[specs.size()];
        this.shouldRun = new boolean[specs.size()];
    }

    /** Returns a supervisor that is not started yet. */
    public static Supervisor of(
            String name, RestartStrategy strategy, RestartIntensity intensity, List<ChildSpec> specs) {
        return new Supervisor(name, strategy, intensity, specs, Ticker.system());
    }

    /** Starts the children in order; if one fails to start, stops those started before it and throws. */
    public void start() throws SupervisorException {
        Arrays.fill(shouldRun, true);
        Optional<ChildFailure> failed = startStoppedChildren();
        if (failed.isPresent()) {
            stopAll();
            ChildFailure f = failed.get();
            SupervisorException failure =
                    SupervisorException.startFailed(name, specs.get(f.child()).name(), f.cause());
            ended.completeExceptionally(failure);
            throw failure;
        }
        Thread.ofVirtual().name("supervisor-" + name).start(this::runEventLoop);
    }

    /** Waits until the supervisor is stopped; throws if it terminated because of too many restarts. */
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

    /** Stops the children in reverse order, each within its timeout, and waits for them. Requires {@link #start}. */
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
        // Nothing to interrupt: the stop timeouts of the children limit the duration of the stop.
    }

    private void runEventLoop() {
        try {
            while (true) {
                if (events.take() instanceof ChildEnded end) {
                    if (running[end.child()] == end.run() && !handleChildEnded(end)) {
                        break;
                    }
                } else {
                    break;
                }
            }
            stopAll();
            ended.complete(null);
        } catch (SupervisorException e) {
            LOG.log(Level.ERROR, "[supervisor] restart limit reached, stopping all children: " + e.getMessage());
            stopAll();
            ended.completeExceptionally(e);
        } catch (InterruptedException | RuntimeException e) {
            LOG.log(Level.ERROR, "[supervisor] terminated by an unexpected exception", e);
            stopAll();
            ended.completeExceptionally(e);
        }
    }

    /** Restarts children after the termination of one; returns false if a stop was requested meanwhile. */
    private boolean handleChildEnded(ChildEnded end) throws SupervisorException, InterruptedException {
        running[end.child()] = null;
        if (end.cause() == null && specs.get(end.child()).restart() == ChildSpec.Restart.TRANSIENT) {
            shouldRun[end.child()] = false;
            log(Level.INFO, "child terminated normally", end.child(), "none");
            return true;
        }
        Optional<ChildFailure> failure = Optional.of(new ChildFailure(end.child(), end.cause()));
        while (failure.isPresent()) {
            int failed = failure.get().child();
            Throwable cause = failure.get().cause();
            Optional<Duration> delay = counter.nextDelay(ticker.nanos());
            if (delay.isEmpty()) {
                throw SupervisorException.tooManyRestarts(
                        name, specs.get(failed).name(), intensity.maxRestarts(), intensity.window(), cause);
            }
            log(Level.WARNING, "child terminated and will be restarted", failed, String.valueOf(cause));
            for (int i = running.length - 1; i >= 0; i--) {
                if (strategy.affects(i, failed)) {
                    stopChild(i);
                }
            }
            if (stop.await(delay.get())) {
                return false;
            }
            failure = startStoppedChildren();
        }
        return true;
    }

    private Optional<ChildFailure> startStoppedChildren() {
        for (int i = 0; i < running.length; i++) {
            if (shouldRun[i] && running[i] == null) {
                try {
                    startChild(i);
                } catch (Exception e) {
                    return Optional.of(new ChildFailure(i, e));
                }
            }
        }
        return Optional.empty();
    }

    private void startChild(int child) throws Exception {
        ChildSpec spec = specs.get(child);
        RunningChild run = spec.starter().start(spec.name());
        running[child] = run;
        run.ended().whenComplete((result, cause) -> events.add(new ChildEnded(child, run, cause)));
        log(Level.DEBUG, "child started", child, "none");
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
        log(Level.WARNING, "child did not stop within its stop timeout and was interrupted", child, "stop timeout");
        if (!endsWithin(run, KILL_TIMEOUT)) {
            log(Level.ERROR, "child did not terminate after the interrupt and was abandoned", child, "stop timeout");
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

    private void log(Level level, String message, int child, String cause) {
        LOG.log(
                level,
                "[supervisor] " + message,
                Map.entry("supervisor", name),
                Map.entry("child", specs.get(child).name()),
                Map.entry("cause", cause));
    }

    private record ChildFailure(int child, Throwable cause) {}

    private sealed interface Event {}

    private record StopRequested() implements Event {}

    private record ChildEnded(int child, RunningChild run, Throwable cause) implements Event {}
}
