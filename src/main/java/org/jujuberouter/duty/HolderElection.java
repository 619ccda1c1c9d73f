package org.jujuberouter.duty;

import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.misc.RendezvousHash;
import org.jujuberouter.misc.Ticker;

/**
 * Decides when this instance tries to become the leader, and whether it is.
 *
 * <p>The leader is the instance that created the holder's key; the revision of that transaction is the token of its
 * term. An instance whose creation was not acknowledged learns from the key that it is the leader. A key with its name
 * that it has not tried to create stems from an earlier run of the instance or from a term that has ended, and is
 * deleted.
 */
final class HolderElection {
    /** Delay of an instance per rank, so that the first one has created the key before the next one tries. */
    private static final long RANK_DELAY_MS = 150;

    /** Shortest interval of two attempts of one instance. */
    private static final long ATTEMPT_INTERVAL_MS = 500;

    /** Time beyond the alternation bound for which a former leader does not try again; covers the delay of its calls. */
    private static final long QUIET_MARGIN_MS = 500;

    private static final String RANKING_KEY = "duties";

    private final Ticker ticker;
    private final InstanceId self;
    private final long quietNanos;
    private Optional<InstanceId> holder = Optional.empty();
    private StorePosition holderPosition = StorePosition.NONE;
    private long freeSince;
    private boolean viewKnown;
    private boolean attempting;
    private boolean attempted;
    private long attemptedAt;
    private boolean attemptOpen;
    private boolean attemptUnresolved;
    private StorePosition openAfter = StorePosition.NONE;
    private long deletedAt;
    private boolean quiet;
    private long quietSince;
    private Optional<DutyTerm> term = Optional.empty();

    private HolderElection(Ticker ticker, InstanceId self, long alternationMs, boolean firstStart) {
        this.ticker = ticker;
        this.self = self;
        this.quietNanos = TimeUnit.MILLISECONDS.toNanos(alternationMs + QUIET_MARGIN_MS);
        // An earlier run of this instance may have led a moment ago, unless the whole system starts for the first time.
        this.quiet = !firstStart;
        this.quietSince = ticker.nanos();
        this.deletedAt = ticker.nanos() - TimeUnit.MILLISECONDS.toNanos(ATTEMPT_INTERVAL_MS);
    }

    static HolderElection of(Ticker ticker, InstanceId self, long alternationMs, boolean firstStart) {
        return new HolderElection(ticker, self, alternationMs, firstStart);
    }

    Optional<DutyTerm> term() {
        return term;
    }

    Optional<InstanceId> holder() {
        return holder;
    }

    /** Records that the store has been read, so that a missing key is known to be missing. */
    void viewKnown() {
        if (!viewKnown) {
            viewKnown = true;
            freeSince = ticker.nanos();
        }
    }

    /** Records the holder's key; returns whether the holder has changed. */
    boolean written(InstanceId instance, StorePosition position) {
        if (!position.isAfter(holderPosition)) {
            return false;
        }
        holder = Optional.of(instance);
        holderPosition = position;
        if (instance.equals(self) && attemptOpen && position.isAfter(openAfter)) {
            begin(position);
        } else {
            endTerm();
        }
        return true;
    }

    /** Records that the holder's key with the given position was removed; returns whether there is no holder now. */
    boolean removed(StorePosition position) {
        if (!position.equals(holderPosition) || holder.isEmpty()) {
            return false;
        }
        holder = Optional.empty();
        freeSince = ticker.nanos();
        endTerm();
        return true;
    }

    /** Returns whether to try to create the key now. */
    boolean shouldAttempt(Collection<InstanceId> listed) {
        if (!viewKnown || attempting || holder.isPresent() || !listed.contains(self)) {
            return false;
        }
        if (quiet && !hasPassed(quietSince, quietNanos) || attempted && !isAttemptDue()) {
            return false;
        }
        // From the later of the two times on: after a start of all, the quiet time of all ends at about the same
        // moment.
        long allowedSince = quiet && quietSince + quietNanos - freeSince > 0 ? quietSince + quietNanos : freeSince;
        int rank = RendezvousHash.rank(RANKING_KEY, listed).indexOf(self);
        return hasPassed(allowedSince, TimeUnit.MILLISECONDS.toNanos(rank * RANK_DELAY_MS));
    }

    private boolean isAttemptDue() {
        return hasPassed(attemptedAt, TimeUnit.MILLISECONDS.toNanos(ATTEMPT_INTERVAL_MS));
    }

    void attemptSent() {
        attempting = true;
        attempted = true;
        attemptedAt = ticker.nanos();
        if (!attemptOpen) {
            attemptOpen = true;
            openAfter = holderPosition;
        }
    }

    /** Records the outcome of the attempt; without a response it may still succeed later. */
    void attemptEnded(StoreWrite outcome) {
        attempting = false;
        if (outcome instanceof StoreWrite.Applied applied && attemptOpen) {
            written(self, applied.position());
        }
        if (outcome instanceof StoreWrite.Unknown) {
            attemptUnresolved = true;
        } else if (outcome instanceof StoreWrite.Conflict && !attemptUnresolved) {
            attemptOpen = false;
        }
    }

    /** Returns the revision of a key with the name of this instance that has to be deleted, or 0 if there is none. */
    long revisionToDelete() {
        boolean foreign = holder.filter(self::equals).isPresent() && term.isEmpty();
        if (!foreign || !hasPassed(deletedAt, TimeUnit.MILLISECONDS.toNanos(ATTEMPT_INTERVAL_MS))) {
            return 0;
        }
        deletedAt = ticker.nanos();
        return holderPosition.revision();
    }

    /** Records that a call was sent or ended, from which the time without attempts after the term counts. */
    void called() {
        quiet = true;
        quietSince = ticker.nanos();
    }

    /** Ends the term at once, also because the lease of its key is lost; a key that is left is deleted later. */
    void resign() {
        deletedAt = ticker.nanos();
        attemptOpen = false;
        attemptUnresolved = false;
        endTerm();
    }

    private void begin(StorePosition position) {
        attemptOpen = false;
        attemptUnresolved = false;
        attempting = false;
        term = Optional.of(new DutyTerm(position));
    }

    private void endTerm() {
        term = Optional.empty();
    }

    private boolean hasPassed(long since, long nanos) {
        return ticker.nanos() - since >= nanos;
    }
}
