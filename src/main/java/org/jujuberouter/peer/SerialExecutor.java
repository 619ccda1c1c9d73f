package org.jujuberouter.peer;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;

/** Runs tasks one after the other, in the order of their submission, on the threads of another executor. */
final class SerialExecutor implements Executor {
    private final Executor threads;
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private boolean running;

    private SerialExecutor(Executor threads) {
        this.threads = threads;
    }

    static SerialExecutor on(Executor threads) {
        return new SerialExecutor(threads);
    }

    @Override
    public void execute(Runnable task) {
        synchronized (tasks) {
            tasks.add(task);
            if (running) {
                return;
            }
            running = true;
        }
        threads.execute(this::runAll);
    }

    private void runAll() {
        Runnable next = poll();
        while (next != null) {
            next.run();
            next = poll();
        }
    }

    private Runnable poll() {
        synchronized (tasks) {
            Runnable next = tasks.poll();
            running = next != null;
            return next;
        }
    }
}
