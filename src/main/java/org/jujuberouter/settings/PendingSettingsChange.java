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
 * A change that is being committed to the store, as a sequence of non-blocking steps with retries.
 *
 * <p>After a write with unknown outcome, the document is read back. If its history contains the change identifier, the
 * write took effect. If the revision is higher than expected and the identifier is missing, the write did not take
 * effect and cannot do so later, because it was conditional on the old revision. If the revision is unchanged, the
 * write may still be in flight and is sent again: both writes are conditional on the same revision, so at most one of
 * them takes effect.
 */
public final class PendingSettingsChange {
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);

    private final PlatformStore store;
    private final Ticker ticker;
    private final SettingsChange change;
    private final long deadlineNanos;
    private Optional<StoreEntry> current;
    private Duration backoff = Duration.ZERO;
    private boolean writeUnresolved;
    private long unresolvedRevision;
    private long unresolvedVersion;

    PendingSettingsChange(PlatformStore store, Ticker ticker, Duration timeout, SettingsChange change) {
        this.store = store;
        this.ticker = ticker;
        this.change = change;
        this.deadlineNanos = ticker.nanos() + timeout.toNanos();
    }

    /** Makes at most one read and one write; returns the result, or empty if another step is needed. */
    public Optional<SettingsResult> step() {
        backoff = backoff.isZero() ? INITIAL_BACKOFF : nextBackoff();
        if (current == null) {
            try {
                current = store.read(SettingsDocument.KEY);
            } catch (PlatformException e) {
                return resultOfFailure(e);
            }
        }
        SettingsDocument document;
        try {
            document = current.isEmpty()
                    ? SettingsDocument.empty()
                    : SettingsDocument.decode(current.get().value());
        } catch (SettingsException e) {
            return invalid(new SettingsError(SettingsDocument.KEY, "", e.getMessage()));
        }
        Optional<SettingsResult> decided = checkPreconditions(document);
        return decided.isPresent() ? decided : write(document.withChange(change));
    }

    /** Returns the delay before the next step. */
    public Duration backoff() {
        return backoff;
    }

    private Optional<SettingsResult> checkPreconditions(SettingsDocument document) {
        Optional<ChangeRecord> done = document.find(change.changeId());
        if (done.isPresent()) {
            return Optional.of(new SettingsResult.Accepted(done.get(), true));
        }
        if (writeUnresolved && revision() != unresolvedRevision) {
            if (!document.historyCovers(unresolvedVersion)) {
                return Optional.of(new SettingsResult.Unknown("the history no longer reaches back to the change"));
            }
            writeUnresolved = false;
        }
        if (document.version() < change.baseVersion()) {
            return invalid(new SettingsError(
                    SettingsDocument.KEY,
                    "version " + change.baseVersion(),
                    "at most the store's version " + document.version() + "; the store may have been restored"));
        }
        if (document.version() > change.baseVersion()) {
            List<ChangeRecord> winners = document.changesAfter(change.baseVersion());
            if (change.rebase() && document.historyCovers(change.baseVersion() + 1)) {
                winners = winners.stream().filter(c -> c.overlaps(change)).toList();
            }
            if (!winners.isEmpty()) {
                return Optional.of(new SettingsResult.Conflict(document.version(), winners));
            }
        }
        List<SettingsError> errors = SettingsValidator.check(document, change);
        return errors.isEmpty() ? Optional.empty() : Optional.of(new SettingsResult.Invalid(errors));
    }

    private Optional<SettingsResult> write(SettingsDocument next) {
        long expected = revision();
        return switch (store.compareAndSet(SettingsDocument.KEY, expected, next.encode(), null)) {
            case WriteOutcome.Done _ ->
                Optional.of(new SettingsResult.Accepted(next.last().orElseThrow(), false));
            case WriteOutcome.Conflict conflict -> {
                current = conflict.current();
                backoff = Duration.ZERO;
                yield Optional.empty();
            }
            case WriteOutcome.Unknown unknown -> {
                writeUnresolved = true;
                unresolvedRevision = expected;
                unresolvedVersion = next.version();
                current = null;
                yield resultOfFailure(unknown.cause());
            }
        };
    }

    private Optional<SettingsResult> resultOfFailure(PlatformException e) {
        if (ticker.nanos() - deadlineNanos < 0) {
            return Optional.empty();
        }
        return Optional.of(
                writeUnresolved
                        ? new SettingsResult.Unknown(e.getMessage())
                        : new SettingsResult.Unavailable(e.getMessage()));
    }

    private long revision() {
        return current.map(StoreEntry::revision).orElse(PlatformStore.ABSENT);
    }

    private Duration nextBackoff() {
        Duration doubled = backoff.multipliedBy(2);
        return doubled.compareTo(MAX_BACKOFF) < 0 ? doubled : MAX_BACKOFF;
    }

    private static Optional<SettingsResult> invalid(SettingsError error) {
        return Optional.of(new SettingsResult.Invalid(List.of(error)));
    }
}
