package org.jujuberouter.outcome;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.store.LeaseId;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;
import org.jujuberouter.store.WriteOutcome;

/**
 * Ensures that each non-idempotent call with a key runs at most once, using records in the platform store.
 *
 * <p>{@link #begin} creates a record with the attempt's id by compare-and-swap, and only an attempt whose record is
 * confirmed may send the call. Records are never deleted, only replaced at the exact revision that was read. A write
 * whose reply was lost can still take effect after a read that did not show it, but only at the revision that it
 * expects. Replacing that revision therefore invalidates the late write. Deleting the record would do the opposite: it
 * would restore the absence that a late creation expects.
 *
 * <p>An attempt that ended without a confirmed record sent nothing, but its record would block the key if it appeared
 * later. {@link #processPending} resolves such attempts: a started record of the attempt is set to not-run, and a
 * revision that one of its unconfirmed writes still expects is replaced by a not-run record. The record of a newer
 * attempt has another revision and stays unchanged.
 *
 * <p>Thread-safe. No lock is held during a store call except for the hourly grant of a lease.
 */
public final class IdempotencyStore {
    /** Minimum time for which a resent call is recognized. */
    public static final Duration RETENTION = Duration.ofHours(24);

    /**
     * Records written within this time share one lease, so that retention costs one write per hour, not one per call.
     */
    private static final Duration LEASE_REUSE = Duration.ofHours(1);

    /** One write, one more after a lost reply, and two more for records that change concurrently. */
    private static final int MAX_WRITES = 4;

    private static final int MAX_READ_ATTEMPTS = 3;

    /**
     * Most results that wait to be written; beyond it the oldest is dropped, and a resend of its call gets
     * may-have-run.
     */
    private static final int MAX_PENDING_RESULTS = 1024;

    /** Attempts beyond this are not resolved; their keys can stay blocked until the retention ends. */
    private static final int MAX_UNCONFIRMED_ATTEMPTS = 65_536;

    private final PlatformStore store;
    private final Ticker ticker;
    private final Deque<PendingResult> pendingResults = new ArrayDeque<>();
    private final Deque<UnconfirmedAttempt> unconfirmed = new ArrayDeque<>();
    private final Object leaseLock = new Object();
    private LeaseId lease;
    private long leaseGrantedNanos;

    private IdempotencyStore(PlatformStore store, Ticker ticker) {
        this.store = store;
        this.ticker = ticker;
    }

    /** Returns the access of one instance to the records. */
    public static IdempotencyStore of(PlatformStore store, Ticker ticker) {
        return new IdempotencyStore(store, ticker);
    }

    /**
     * Decides whether the call may run now.
     *
     * @param id a request id that was not passed to this method before
     */
    public BeginResult begin(KeyedCall call, RequestId id) {
        byte[] started = newRecord(call, id, IdempotencyRecord.State.STARTED).toJson();
        Set<Long> expectedRevisions = new LinkedHashSet<>();
        long expected = PlatformStore.ABSENT;
        String reason = "the record of the call keeps changing";
        for (int i = 0; i < MAX_WRITES; i++) {
            Optional<StoreEntry> current;
            try {
                switch (store.compareAndSet(call.storeKey(), expected, started, currentLease())) {
                    case WriteOutcome.Done done -> {
                        return new BeginResult.Run(KeyedAttempt.of(call, id, done.revision()));
                    }
                    case WriteOutcome.Conflict conflict -> current = conflict.current();
                    case WriteOutcome.Unknown unknown -> {
                        expectedRevisions.add(expected);
                        current = readBack(call.storeKey());
                    }
                }
                Optional<BeginResult> known = evaluate(call, id, current);
                if (known.isPresent()) {
                    return known.get();
                }
            } catch (PlatformException | IOException e) {
                reason = String.valueOf(e.getMessage());
                break;
            }
            expected = revision(current);
        }
        if (!expectedRevisions.isEmpty()) {
            addUnconfirmed(new UnconfirmedAttempt(call, id, expectedRevisions));
        }
        return new BeginResult.Unavailable(reason);
    }

    /**
     * Records that the call did not run, so that a resend may run. To be called only when the request has ended: no
     * byte of it may be sent afterwards.
     */
    public void recordNotRun(KeyedAttempt attempt) {
        attempt.close();
        UnconfirmedAttempt notRun = new UnconfirmedAttempt(attempt.call(), attempt.id(), Set.of());
        // Tried immediately, because the caller may resend the call as soon as it reads the response.
        if (!resolve(notRun)) {
            addUnconfirmed(notRun);
        }
    }

    /** Records the response to the call. A later {@link #processPending} writes it to the store. */
    public void recordResult(KeyedAttempt attempt, StoredResult result) {
        attempt.close();
        IdempotencyRecord record =
                IdempotencyRecord.finished(attempt.id().value(), attempt.call().bodyHash(), result);
        synchronized (pendingResults) {
            if (pendingResults.size() == MAX_PENDING_RESULTS) {
                pendingResults.removeFirst();
            }
            pendingResults.addLast(new PendingResult(attempt, record.toJson()));
        }
    }

    /**
     * Writes pending results and resolves unconfirmed attempts. Called about once a second, and at a planned stop until
     * it returns 0.
     *
     * @return how many results and attempts are left for the next call
     */
    public int processPending() {
        for (int n = size(pendingResults); n > 0; n--) {
            PendingResult result = poll(pendingResults);
            if (result != null && !writeResult(result)) {
                requeue(pendingResults, result);
            }
        }
        for (int n = size(unconfirmed); n > 0; n--) {
            UnconfirmedAttempt attempt = poll(unconfirmed);
            if (attempt != null && !resolve(attempt)) {
                requeue(unconfirmed, attempt);
            }
        }
        return size(pendingResults) + size(unconfirmed);
    }

    private boolean writeResult(PendingResult result) {
        try {
            KeyedAttempt attempt = result.attempt;
            WriteOutcome outcome =
                    store.compareAndSet(attempt.call().storeKey(), attempt.revision(), result.json, currentLease());
            // A conflict means that an earlier write took effect: nothing else changes a started record.
            return !(outcome instanceof WriteOutcome.Unknown);
        } catch (PlatformException e) {
            return false;
        }
    }

    /** Tries to ensure that no started record of the attempt exists or can still appear. */
    private boolean resolve(UnconfirmedAttempt attempt) {
        String key = attempt.call.storeKey();
        try {
            Optional<StoreEntry> current = store.read(key);
            if (!isStartedBy(attempt.id, current) && !attempt.expectedRevisions.contains(revision(current))) {
                return true;
            }
            byte[] notRun = newRecord(attempt.call, attempt.id, IdempotencyRecord.State.NOT_RUN)
                    .toJson();
            return store.compareAndSet(key, revision(current), notRun, currentLease()) instanceof WriteOutcome.Done;
        } catch (PlatformException e) {
            return false;
        } catch (IOException e) {
            // Not an idempotency record, so there is nothing to resolve.
            return true;
        }
    }

    /** Returns the result that the record implies for the attempt, or empty if the attempt may try to replace it. */
    private static Optional<BeginResult> evaluate(KeyedCall call, RequestId id, Optional<StoreEntry> current)
            throws IOException {
        if (current.isEmpty()) {
            return Optional.empty();
        }
        if (isStartedBy(id, current)) {
            return Optional.of(
                    new BeginResult.Run(KeyedAttempt.of(call, id, current.get().revision())));
        }
        IdempotencyRecord record = IdempotencyRecord.parse(current.get().value());
        if (!record.bodyHash().equals(call.bodyHash())) {
            return Optional.of(new BeginResult.KeyReused());
        }
        return switch (record.state()) {
            case NOT_RUN -> Optional.empty();
            case STARTED -> Optional.of(new BeginResult.Duplicate(OptionalInt.empty()));
            case FINISHED ->
                Optional.of(
                        record.body() == null
                                ? new BeginResult.Duplicate(OptionalInt.of(record.status()))
                                : new BeginResult.Replay(
                                        StoredResult.of(record.status(), record.contentType(), record.body())));
        };
    }

    private static boolean isStartedBy(RequestId id, Optional<StoreEntry> current) throws IOException {
        if (current.isEmpty()) {
            return false;
        }
        IdempotencyRecord record = IdempotencyRecord.parse(current.get().value());
        return record.attempt().equals(id.value()) && record.state() == IdempotencyRecord.State.STARTED;
    }

    private Optional<StoreEntry> readBack(String key) throws PlatformException {
        for (int i = 1; ; i++) {
            try {
                return store.read(key);
            } catch (PlatformException e) {
                if (i == MAX_READ_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    private LeaseId currentLease() throws PlatformException {
        synchronized (leaseLock) {
            long now = ticker.nanos();
            if (lease == null || now - leaseGrantedNanos >= LEASE_REUSE.toNanos()) {
                lease = store.grantLease(RETENTION.plus(LEASE_REUSE));
                leaseGrantedNanos = now;
            }
            return lease;
        }
    }

    private static IdempotencyRecord newRecord(KeyedCall call, RequestId id, IdempotencyRecord.State state) {
        return IdempotencyRecord.of(id.value(), call.bodyHash(), state);
    }

    private static long revision(Optional<StoreEntry> entry) {
        return entry.map(StoreEntry::revision).orElse(PlatformStore.ABSENT);
    }

    private void addUnconfirmed(UnconfirmedAttempt attempt) {
        synchronized (unconfirmed) {
            if (unconfirmed.size() < MAX_UNCONFIRMED_ATTEMPTS) {
                unconfirmed.addLast(attempt);
            }
        }
    }

    private static int size(Deque<?> queue) {
        synchronized (queue) {
            return queue.size();
        }
    }

    private static <T> T poll(Deque<T> queue) {
        synchronized (queue) {
            return queue.pollFirst();
        }
    }

    private static <T> void requeue(Deque<T> queue, T item) {
        synchronized (queue) {
            queue.addLast(item);
        }
    }

    private record PendingResult(KeyedAttempt attempt, byte[] json) {}

    /** An attempt that sent nothing, with the revisions that its unconfirmed writes expected. */
    private record UnconfirmedAttempt(KeyedCall call, RequestId id, Set<Long> expectedRevisions) {}
}
