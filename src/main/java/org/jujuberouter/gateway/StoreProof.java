package org.jujuberouter.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jujuberouter.control.StoreWatcher;
import org.jujuberouter.dispatch.StoreFreshness;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.peer.PeerMessage;

/**
 * Proves the view of the store by those of peers.
 *
 * <p>A report counts from the time at which its query was sent, so a report that was delayed on its way proves no more
 * than it did when it was created. The view is proved as a whole if this instance has received all changes that the
 * peer has; the same configuration version proves at least the API keys.
 */
final class StoreProof {
    /** Age that proves nothing, in place of one that is not known. */
    private static final long UNKNOWN_AGE_MS = 3_600_000;

    private final StoreWatcher watcher;
    private final StoreFreshness configuration;
    private final StoreFreshness view;
    private final LongSupplier configurationVersion;

    private StoreProof(
            StoreWatcher watcher,
            StoreFreshness configuration,
            StoreFreshness view,
            LongSupplier configurationVersion) {
        this.watcher = watcher;
        this.configuration = configuration;
        this.view = view;
        this.configurationVersion = configurationVersion;
    }

    /**
     * Returns the proof of a view.
     *
     * @param watcher holds the position of the view
     * @param configuration the age of the configuration in the view
     * @param view the age of the whole view
     * @param configurationVersion the version of the configuration in the view
     */
    static StoreProof of(
            StoreWatcher watcher,
            StoreFreshness configuration,
            StoreFreshness view,
            LongSupplier configurationVersion) {
        return new StoreProof(watcher, configuration, view, configurationVersion);
    }

    /** Returns whether this instance knows the age of its configuration and can answer queries. */
    boolean canReport() {
        return configuration.isCurrent();
    }

    /** Returns the report of this instance, without a position if it does not reach the store. */
    PeerMessage.ContactReport report(PeerMessage.ContactQuery query) {
        if (!canReport()) {
            return new PeerMessage.ContactReport(
                    query.queryNanos(), UNKNOWN_AGE_MS, configurationVersion.getAsLong(), 0, StorePosition.NONE);
        }
        boolean viewKnown = view.isCurrent() && watcher.isConnected();
        return new PeerMessage.ContactReport(
                query.queryNanos(),
                configuration.ageMs(),
                configurationVersion.getAsLong(),
                viewKnown ? view.ageMs() : 0,
                viewKnown ? watcher.position() : StorePosition.NONE);
    }

    void onReport(PeerMessage.ContactReport report) {
        long viewNanos = reportedTime(report, report.viewAgeMillis());
        if (report.position().isKnown() && watcher.onPeerReport(report.position(), viewNanos)) {
            view.confirmAt(viewNanos);
            configuration.confirmAt(viewNanos);
        }
        if (!report.position().isKnown()) {
            watcher.onPeerWithoutStore();
        }
        if (report.configuration() == configurationVersion.getAsLong()) {
            configuration.confirmAt(reportedTime(report, report.ageMillis()));
        }
    }

    /** Returns a time not later than that of the reported view: the report was created after the query was sent. */
    private static long reportedTime(PeerMessage.ContactReport report, long ageMillis) {
        return report.queryNanos() - TimeUnit.MILLISECONDS.toNanos(ageMillis + 1);
    }
}
