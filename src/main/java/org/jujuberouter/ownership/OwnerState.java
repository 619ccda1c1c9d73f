package org.jujuberouter.ownership;

import java.util.List;
import java.util.Optional;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.StoreEntry;

/**
 * The local state for the owner record of one endpoint.
 *
 * <p>Not thread-safe; accessed only while {@link Ownership} is locked.
 */
final class OwnerState {
    /** Store revision of {@link #lastRecord}; 0 if the key is absent. */
    long revision;

    /** The record as last read or written; null if the key is absent or was not read yet. */
    OwnerRecord lastRecord;

    /** Whether the stored record may differ from {@link #lastRecord}: not read yet, or a write got no reply. */
    boolean uncertain = true;

    /** Time from which the next step for this endpoint is due. */
    long nextStepAt;

    /** Time since which {@link #preferredOwner} has been preferred; meaningful only while it is set. */
    long preferredSince;

    /** The other live instance that rendezvous hashing prefers as owner; null if this instance or none is preferred. */
    InstanceId preferredOwner;

    /** Time since which the record has contained the current predecessors; meaningful only if there are any. */
    long predecessorsSince;

    /** Whether granting has stopped because a release is being written. */
    boolean releasing;

    /** The fencing number under which the endpoint that is being released was owned. */
    long releasedFence;

    /** Sets the state to what the store returned; empty if the key is absent. */
    void update(Optional<StoreEntry> entry) throws PlatformException {
        lastRecord = entry.isPresent() ? OwnerCodec.decode(entry.get()) : null;
        revision = entry.map(StoreEntry::revision).orElse(0L);
        uncertain = false;
    }

    boolean ownedBy(Incarnation incarnation) {
        return lastRecord != null && lastRecord.ownedBy(incarnation);
    }

    List<Predecessor> predecessors() {
        return lastRecord == null ? List.of() : lastRecord.predecessors();
    }
}
