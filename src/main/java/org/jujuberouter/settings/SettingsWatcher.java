package org.jujuberouter.settings;

import java.time.Duration;
import java.util.Optional;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;

/**
 * Follows the document in the store; the caller repeats {@link #step} on a thread of its own.
 *
 * <p>A step waits for a revision above the last one seen. The first step, the step after a failure and the step after a wait
 * without a change read instead: a restored store can number its revisions from below the one seen, for which a watch would
 * wait forever. That is two calls every 30 s for an instance without changes, or 27 reads/s for 410 instances, of the two
 * thousand that the store supports.
 */
public final class SettingsWatcher {
    /** How long one watch waits. */
    public static final Duration WAIT = Duration.ofSeconds(30);

    private static final Duration FIRST_PAUSE = Duration.ofMillis(200);

    // Half of the 4 s in which a change must be in force, so that an outage does not delay it by more.
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(2);

    private final PlatformStore store;
    private final SettingsCache cache;
    private boolean readFirst = true;
    private long revision;
    private Duration failurePause = Duration.ZERO;

    private SettingsWatcher(PlatformStore store, SettingsCache cache) {
        this.store = store;
        this.cache = cache;
    }

    /** Returns a watch that offers what the store has to the cache. */
    public static SettingsWatcher of(PlatformStore store, SettingsCache cache) {
        return new SettingsWatcher(store, cache);
    }

    /** Makes one call to the store and returns how long to pause before the next step. */
    public Duration step() {
        try {
            if (readFirst) {
                Optional<StoreEntry> entry = store.read(SettingsDocument.KEY);
                entry.ifPresentOrElse(this::offer, this::absent);
                readFirst = false;
            } else {
                Optional<StoreEntry> entry = store.watch(SettingsDocument.KEY, revision, WAIT);
                entry.ifPresent(this::offer);
                readFirst = entry.isEmpty();
            }
            failurePause = Duration.ZERO;
        } catch (PlatformException e) {
            readFirst = true;
            Duration twice = failurePause.multipliedBy(2);
            failurePause = failurePause.isZero() ? FIRST_PAUSE : twice;
            failurePause = failurePause.compareTo(LONGEST_PAUSE) < 0 ? failurePause : LONGEST_PAUSE;
        }
        return failurePause;
    }

    private void offer(StoreEntry entry) {
        revision = entry.revision();
        try {
            cache.updateFromStore(SettingsDocument.decode(entry.value()));
        } catch (SettingsException e) {
            cache.reportUnreadable(e);
        }
    }

    private void absent() {
        revision = PlatformStore.ABSENT;
        cache.reportAbsent();
    }
}
