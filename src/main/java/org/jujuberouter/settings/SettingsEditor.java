package org.jujuberouter.settings;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;

/**
 * Brings operators' changes into the store, each at most once.
 *
 * <p>Of changes that race, the store's compare-and-swap lets one win; the others get a conflict that names it, or go on top
 * of it when they may rebase and touch other paths.
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

    /** Returns an editor that keeps trying for the given time while the store does not answer. */
    public static SettingsEditor of(PlatformStore store, Ticker ticker, Duration timeout) {
        return new SettingsEditor(store, ticker, timeout);
    }

    /** Returns the document in the store. */
    public SettingsDocument read() throws PlatformException, SettingsException {
        Optional<StoreEntry> entry = store.read(SettingsDocument.KEY);
        return entry.isEmpty()
                ? SettingsDocument.empty()
                : SettingsDocument.decode(entry.get().value());
    }

    /** Returns all reasons for which a change would be refused on top of the given document. */
    public static List<SettingsError> check(SettingsDocument current, SettingsChange change) {
        return SettingsRules.check(current, change);
    }

    /** Begins a change that the caller drives step by step. */
    public PendingSettingsChange begin(SettingsChange change) {
        return new PendingSettingsChange(store, ticker, timeout, change);
    }

    /** Brings a change into the store; waits between the steps on the calling thread. */
    public SettingsResult apply(SettingsChange change) throws InterruptedException {
        PendingSettingsChange edit = begin(change);
        Optional<SettingsResult> result = edit.step();
        while (result.isEmpty()) {
            Thread.sleep(edit.pause());
            result = edit.step();
        }
        return result.get();
    }
}
