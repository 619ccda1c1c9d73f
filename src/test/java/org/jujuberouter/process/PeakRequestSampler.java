package org.jujuberouter.process;

/** Polls all engines of a cluster and records the highest number of active requests at one of them. */
final class PeakRequestSampler implements AutoCloseable {
    private final Thread thread;
    private volatile int peak;

    private PeakRequestSampler(TestCluster cluster) {
        thread = Thread.ofVirtual().start(() -> {
            try {
                while (!Thread.currentThread().isInterrupted()) {
                    for (int i = 0; i < cluster.engines.size(); i++) {
                        peak = Math.max(peak, cluster.activeRequestIds(i).size());
                    }
                    Thread.sleep(20);
                }
            } catch (Exception e) {
                // The cluster is being closed.
            }
        });
    }

    static PeakRequestSampler start(TestCluster cluster) {
        return new PeakRequestSampler(cluster);
    }

    int peak() {
        return peak;
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
