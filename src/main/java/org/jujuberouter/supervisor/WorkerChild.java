package org.jujuberouter.supervisor;

import java.util.concurrent.CompletableFuture;

/** A child that runs a worker on a virtual thread. */
final class WorkerChild implements RunningChild {
    private final StopSignal stop = new StopSignal();
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final boolean interruptOnStop;
    private final Thread thread;

    private WorkerChild(String name, ChildSpec.Worker worker, boolean interruptOnStop) {
        this.interruptOnStop = interruptOnStop;
        this.thread = Thread.ofVirtual().name(name).unstarted(() -> run(worker));
    }

    static WorkerChild start(String name, ChildSpec.Worker worker, boolean interruptOnStop) {
        WorkerChild child = new WorkerChild(name, worker, interruptOnStop);
        child.thread.start();
        return child;
    }

    @Override
    public CompletableFuture<Void> ended() {
        return ended;
    }

    @Override
    public void requestStop() {
        stop.request();
        if (interruptOnStop) {
            thread.interrupt();
        }
    }

    @Override
    public void kill() {
        thread.interrupt();
    }

    private void run(ChildSpec.Worker worker) {
        try {
            worker.run(stop);
            ended.complete(null);
        } catch (Throwable e) {
            // Errors are included, so that a worker that failed with an error is restarted too.
            ended.completeExceptionally(e);
        }
    }
}
