package org.jujuberouter.process;

/** Asks all engines of a site for their requests again and again and keeps the highest number. */
final class PeakWatch implements AutoCloseable {
    private final Thread thread;
    private volatile int highest;

    private PeakWatch(Site site) {
        thread = Thread.ofVirtual().start(() -> {
            try {
                while (!Thread.currentThread().isInterrupted()) {
                    for (int i = 0; i < site.engines.size(); i++) {
                        highest = Math.max(highest, site.running(i).size());
                    }
                    Thread.sleep(20);
                }
            } catch (Exception e) {
                // The site is closing.
            }
        });
    }

    static PeakWatch start(Site site) {
        return new PeakWatch(site);
    }

    int highest() {
        return highest;
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
