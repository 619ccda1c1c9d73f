package org.jujuberouter.supervisor;

import java.util.concurrent.CompletableFuture;

/** A child that runs its work on a virtual thread. */
final class WorkerChild implements RunningChild {
    private final StopSignal stop = new StopSignal();
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final boolean interruptAtStop;
    private final Thread thread;

    private WorkerChild(String name, ChildSpec.Worker work, boolean interruptAtStop) {
        this.interruptAtStop = interruptAtStop;
        this.thread = Thread.ofVirtual().name(name).unstarted(() -> run(work));
    }

    static WorkerChild start(String name, ChildSpec.Worker work, boolean interruptAtStop) {
        WorkerChild child = new WorkerChild(name, work, interruptAtStop);
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
        if (interruptAtStop) {
            thread.interrupt();
        }
    }

    @Override
    public void kill() {
        thread.interrupt();
    }

    private void run(ChildSpec.Worker work) {
        try {
            work.run(stop);
            ended.complete(null);
        } catch (Throwable e) {
            // Also errors: a worker that ended with one is restarted like any other.
            ended.completeExceptionally(e);
        }
    }
}
