package org.jujuberouter.settings;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;

/**
 * Commits operators' changes to the store, each at most once.
 *
 * <p>Of concurrent changes, one succeeds by compare-and-swap. The others are rebased on top of it if they allow that
 * and change other paths; otherwise they fail with a conflict that lists the changes committed first.
 */
public final class SettingsEditor {
    private final PlatformStore store;
    private final Ticker ticker;
    private final Duration timeout;

    private SettingsEditor(PlatformStore store, Ticker ticker, Duration timeout) {
        this.store = store;
        this.ticker = ticker;
        this.timeout = timeout;
    }

    /** Returns an editor that retries for up to the given time while the store is unavailable. */
    public static SettingsEditor of(PlatformStore store, Ticker ticker, Duration timeout) {
        return new SettingsEditor(store, ticker, timeout);
    }

    /** Returns the document in the store; an empty document if there is none. */
    public SettingsDocument read() throws PlatformException, SettingsException {
        Optional<StoreEntry> entry = store.read(SettingsDocument.KEY);
        return entry.isEmpty()
                ? SettingsDocument.empty()
                : SettingsDocument.decode(entry.get().value());
    }

    /** Validates a change against the given document; returns all errors. */
    public static List<SettingsError> check(SettingsDocument current, SettingsChange change) {
        return SettingsValidator.check(current, change);
    }

    /** Prepares a change without blocking; the caller runs its steps. */
    public PendingSettingsChange begin(SettingsChange change) {
        return new PendingSettingsChange(store, ticker, timeout, change);
    }

    /** Commits a change to the store; blocks the calling thread between steps. */
    public SettingsResult apply(SettingsChange change) throws InterruptedException {
        PendingSettingsChange pending = begin(change);
        Optional<SettingsResult> result = pending.step();
        while (result.isEmpty()) {
            Thread.sleep(pending.backoff());
            result = pending.step();
        }
        return result.get();
    }
}
