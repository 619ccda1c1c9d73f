package org.jujuberouter.supervisor;

import java.util.concurrent.CompletableFuture;

/** A child that consists of a resource, which is closed to stop it. */
final class ResourceChild implements RunningChild {
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private final Thread closer;

    ResourceChild(String name, AutoCloseable resource) {
        this.closer = Thread.ofVirtual().name(name + "-close").unstarted(() -> close(resource));
    }

    @Override
    public CompletableFuture<Void> ended() {
        return ended;
    }

    @Override
    public void requestStop() {
        closer.start();
    }

    @Override
    public void kill() {
        closer.interrupt();
    }

    private void close(AutoCloseable resource) {
        try {
            resource.close();
            ended.complete(null);
        } catch (Exception e) {
            ended.completeExceptionally(e);
        }
    }
}
