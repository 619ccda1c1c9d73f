package org.jujuberouter.settings;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;
import org.jujuberouter.store.WriteOutcome;

/**
 * One change on its way into the store, driven step by step.
 *
 * <p>After a write of unknown outcome the document is read back. The change id in its history shows that the write took
 * effect. A revision above the expected one without the id shows that it did not and never will, because it was conditional
 * on the old revision. With the revision unchanged the write may still be under way, so the same write is sent again: both
 * are conditional on the same revision, so at most one of them takes effect.
 */
public final class PendingSettingsChange {
    private static final Duration FIRST_PAUSE = Duration.ofMillis(50);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);

    private final PlatformStore store;
    private final Ticker ticker;
    private final SettingsChange change;
    private final long endNanos;
    private Optional<StoreEntry> current;
    private Duration pause = Duration.ZERO;
    private boolean open;
    private long openRevision;
    private long openVersion;

    PendingSettingsChange(PlatformStore store, Ticker ticker, Duration timeout, SettingsChange change) {
        this.store = store;
        this.ticker = ticker;
        this.change = change;
        this.endNanos = ticker.nanos() + timeout.toNanos();
    }

    /** Makes one read and at most one write; returns the result, or empty when another step is needed after the pause. */
    public Optional<SettingsResult> step() {
        pause = pause.isZero() ? FIRST_PAUSE : longer();
        if (current == null) {
            try {
                current = store.read(SettingsDocument.KEY);
            } catch (PlatformException e) {
                return failed(e);
            }
        }
        SettingsDocument document;
        try {
            document = current.isEmpty()
                    ? SettingsDocument.empty()
                    : SettingsDocument.decode(current.get().value());
        } catch (SettingsException e) {
            return refuse(new SettingsError(SettingsDocument.KEY, "", e.getMessage()));
        }
        Optional<SettingsResult> decided = decide(document);
        return decided.isPresent() ? decided : write(document.with(change));
    }

    /** Returns the time to wait before the next step. */
    public Duration pause() {
        return pause;
    }

    private Optional<SettingsResult> decide(SettingsDocument document) {
        Optional<ChangeRecord> done = document.find(change.changeId());
        if (done.isPresent()) {
            return Optional.of(new SettingsResult.Accepted(done.get(), true));
        }
        if (open && revision() != openRevision) {
            if (!document.remembers(openVersion)) {
                return Optional.of(new SettingsResult.Unknown("the history no longer reaches back to the change"));
            }
            open = false;
        }
        if (document.version() < change.seenVersion()) {
            return refuse(new SettingsError(
                    SettingsDocument.KEY,
                    "version " + change.seenVersion(),
                    "at most the store's version " + document.version() + "; the store may have been restored"));
        }
        if (document.version() > change.seenVersion()) {
            List<ChangeRecord> winners = document.since(change.seenVersion());
            if (change.rebase() && document.remembers(change.seenVersion() + 1)) {
                winners = winners.stream().filter(c -> c.touches(change)).toList();
            }
            if (!winners.isEmpty()) {
                return Optional.of(new SettingsResult.Conflict(document.version(), winners));
            }
        }
        List<SettingsError> errors = SettingsRules.check(document, change);
        return errors.isEmpty() ? Optional.empty() : Optional.of(new SettingsResult.Invalid(errors));
    }

    private Optional<SettingsResult> write(SettingsDocument next) {
        long expected = revision();
        return switch (store.compareAndSet(SettingsDocument.KEY, expected, next.encode(), null)) {
            case WriteOutcome.Done _ ->
                Optional.of(new SettingsResult.Accepted(next.last().orElseThrow(), false));
            case WriteOutcome.Conflict conflict -> {
                current = conflict.current();
                pause = Duration.ZERO;
                yield Optional.empty();
            }
            case WriteOutcome.Unknown unknown -> {
                open = true;
                openRevision = expected;
                openVersion = next.version();
                current = null;
                yield failed(unknown.cause());
            }
        };
    }

    private Optional<SettingsResult> failed(PlatformException e) {
        if (ticker.nanos() - endNanos < 0) {
            return Optional.empty();
        }
        return Optional.of(
                open ? new SettingsResult.Unknown(e.getMessage()) : new SettingsResult.Unavailable(e.getMessage()));
    }

    private long revision() {
        return current.map(StoreEntry::revision).orElse(PlatformStore.ABSENT);
    }

    private Duration longer() {
        Duration twice = pause.multipliedBy(2);
        return twice.compareTo(LONGEST_PAUSE) < 0 ? twice : LONGEST_PAUSE;
    }

    private static Optional<SettingsResult> refuse(SettingsError error) {
        return Optional.of(new SettingsResult.Invalid(List.of(error)));
    }
}
