package org.jujuberouter.ownership;

import java.util.List;
import java.util.Optional;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.StoreEntry;

/** What one instance knows about the owner record of one endpoint; used by the ticking thread only. */
final class OwnerState {
    /** Revision of {@link #seen}; 0 when the key is absent. */
    long revision;

    /** The record as last read or written, or null when the key is absent or was not read yet. */
    OwnerRecord seen;

    /** Whether the store's state may differ from {@link #seen} because a reply is missing. */
    boolean unsure = true;

    /** When the next step for this endpoint is due. */
    long due;

    /** Since when another live member has been the better owner; meaningful while {@link #better} is set. */
    long betterSince;

    /** The better owner to which the endpoint is to be handed over, or null. */
    InstanceId better;

    /** Since when the record has shown the current predecessors; meaningful while there are any. */
    long predecessorsSince;

    /** Whether grants have stopped because a release is being written. */
    boolean releasing;

    /** The fencing number that a release in progress gives up. */
    long releasedFence;

    void saw(Optional<StoreEntry> entry) throws PlatformException {
        seen = entry.isPresent() ? OwnerCodec.decode(entry.get()) : null;
        revision = entry.map(StoreEntry::revision).orElse(0L);
        unsure = false;
    }

    boolean ownedBy(Incarnation incarnation) {
        return seen != null && seen.ownedBy(incarnation);
    }

    List<Predecessor> predecessors() {
        return seen == null ? List.of() : seen.predecessors();
    }
}
