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
 * Lets each non-idempotent call run at most once, through records in the platform store.
 *
 * <p>{@link #begin} creates a record that carries the attempt's id by compare-and-swap, and only an attempt whose record
 * stands may send. A record is never deleted, only changed at the exact revision at which it was last seen. A write whose
 * reply was lost can take effect after the read-back that did not show it; it then still needs the revision that it
 * expected. Changing that revision is therefore what rules the late write out, and a deletion would do the opposite:
 * it would bring back the absence that a late creation expects.
 *
 * <p>An attempt that ended without a confirmed record sent nothing, but its late record would block the key. Such attempts
 * are remembered as doubts and settled by {@link #processPending}: a record of ours becomes not-run, and a revision that an open
 * write still expects is replaced by a not-run record. A newer attempt has another revision and is left alone.
 *
 * <p>Thread-safe. No lock is held during a store call except for the hourly grant of a lease.
 */
public final class IdempotencyStore {
    /** How long a resend is recognised, at least. */
    public static final Duration RETENTION = Duration.ofHours(24);

    /** One lease serves all records of this time, so that retention costs one write an hour and not one a call. */
    private static final Duration LEASE_REUSE = Duration.ofHours(1);

    /** The first write, a second after a lost reply, and two for records that change in between. */
    private static final int MAX_WRITES = 4;

    private static final int MAX_READ_BACKS = 3;

    /** Results that wait for a lazy write; the oldest is given up first, which leaves its resend at may-have-run. */
    private static final int MAX_RESULTS = 1024;

    /** Doubts beyond this are given up; their keys can stay blocked until the retention ends. */
    private static final int MAX_DOUBTS = 65_536;

    private final PlatformStore store;
    private final Ticker ticker;
    private final Deque<Result> results = new ArrayDeque<>();
    private final Deque<Doubt> doubts = new ArrayDeque<>();
    private final Object leaseLock = new Object();
    private LeaseId lease;
    private long leaseGrantedNanos;

    private IdempotencyStore(PlatformStore store, Ticker ticker) {
        this.store = store;
        this.ticker = ticker;
    }

    /** Returns the records of one instance. */
    public static IdempotencyStore of(PlatformStore store, Ticker ticker) {
        return new IdempotencyStore(store, ticker);
    }

    /**
     * Asks whether the call may run now.
     *
     * @param id a request id that was never used for a begin before
     */
    public BeginResult begin(KeyedCall call, RequestId id) {
        byte[] started = document(call, id, IdempotencyRecord.State.STARTED).toJson();
        Set<Long> open = new LinkedHashSet<>();
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
                        open.add(expected);
                        current = readBack(call.storeKey());
                    }
                }
                Optional<BeginResult> verdict = judge(call, id, current);
                if (verdict.isPresent()) {
                    return verdict.get();
                }
            } catch (PlatformException | IOException e) {
                reason = String.valueOf(e.getMessage());
                break;
            }
            expected = revision(current);
        }
        if (!open.isEmpty()) {
            addDoubt(new Doubt(call, id, open));
        }
        return new BeginResult.Unavailable(reason);
    }

    /**
     * Reports that nothing of the call ran, so that a resend may run. To be reported only when the request is over: no
     * byte of it may leave afterwards.
     */
    public void recordNotRun(KeyedAttempt attempt) {
        attempt.close();
        Doubt doubt = new Doubt(attempt.call(), attempt.id(), Set.of());
        // Tried at once, because the caller may send the call again as soon as it reads the answer.
        if (!settleDoubt(doubt)) {
            addDoubt(doubt);
        }
    }

    /** Reports the answer to the call. It is written by a later {@link #processPending}. */
    public void recordResult(KeyedAttempt attempt, StoredResult result) {
        attempt.close();
        IdempotencyRecord document =
                IdempotencyRecord.finished(attempt.id().value(), attempt.call().bodyHash(), result);
        synchronized (results) {
            if (results.size() == MAX_RESULTS) {
                results.removeFirst();
            }
            results.addLast(new Result(attempt, document.toJson()));
        }
    }

    /**
     * Writes pending results and settles doubts; to be called about once a second by one thread, and at a planned stop
     * until it returns 0.
     *
     * @return how many are left for the next call
     */
    public int processPending() {
        for (int n = size(results); n > 0; n--) {
            Result result = take(results);
            if (result != null && !writeResult(result)) {
                putBack(results, result);
            }
        }
        for (int n = size(doubts); n > 0; n--) {
            Doubt doubt = take(doubts);
            if (doubt != null && !settleDoubt(doubt)) {
                putBack(doubts, doubt);
            }
        }
        return size(results) + size(doubts);
    }

    private boolean writeResult(Result result) {
        try {
            KeyedAttempt attempt = result.attempt;
            WriteOutcome outcome =
                    store.compareAndSet(attempt.call().storeKey(), attempt.revision(), result.json, currentLease());
            // A conflict means that an earlier try took effect: nobody else changes a started record.
            return !(outcome instanceof WriteOutcome.Unknown);
        } catch (PlatformException e) {
            return false;
        }
    }

    /** Tries to make sure that no record of the attempt stands or can still appear as started. */
    private boolean settleDoubt(Doubt doubt) {
        String key = doubt.call.storeKey();
        try {
            Optional<StoreEntry> current = store.read(key);
            if (!isOursStarted(doubt.id, current) && !doubt.open.contains(revision(current))) {
                return true;
            }
            byte[] notRun = document(doubt.call, doubt.id, IdempotencyRecord.State.NOT_RUN)
                    .toJson();
            return store.compareAndSet(key, revision(current), notRun, currentLease()) instanceof WriteOutcome.Done;
        } catch (PlatformException e) {
            return false;
        } catch (IOException e) {
            // Not one of our records, so there is nothing to undo.
            return true;
        }
    }

    /** Returns what the record means for the attempt, or empty when the attempt may try to write over it. */
    private static Optional<BeginResult> judge(KeyedCall call, RequestId id, Optional<StoreEntry> current)
            throws IOException {
        if (current.isEmpty()) {
            return Optional.empty();
        }
        if (isOursStarted(id, current)) {
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

    private static boolean isOursStarted(RequestId id, Optional<StoreEntry> current) throws IOException {
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
                if (i == MAX_READ_BACKS) {
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

    private static IdempotencyRecord document(KeyedCall call, RequestId id, IdempotencyRecord.State state) {
        return IdempotencyRecord.of(id.value(), call.bodyHash(), state);
    }

    private static long revision(Optional<StoreEntry> entry) {
        return entry.map(StoreEntry::revision).orElse(PlatformStore.ABSENT);
    }

    private void addDoubt(Doubt doubt) {
        synchronized (doubts) {
            if (doubts.size() < MAX_DOUBTS) {
                doubts.addLast(doubt);
            }
        }
    }

    private static int size(Deque<?> queue) {
        synchronized (queue) {
            return queue.size();
        }
    }

    private static <T> T take(Deque<T> queue) {
        synchronized (queue) {
            return queue.pollFirst();
        }
    }

    private static <T> void putBack(Deque<T> queue, T item) {
        synchronized (queue) {
            queue.addLast(item);
        }
    }

    private record Result(KeyedAttempt attempt, byte[] json) {}

    /** An attempt that sent nothing; {@code open} are the revisions that its unconfirmed writes expected. */
    private record Doubt(KeyedCall call, RequestId id, Set<Long> open) {}
}
