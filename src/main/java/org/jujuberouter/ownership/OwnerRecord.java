package org.jujuberouter.ownership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jujuberouter.id.Incarnation;

/**
 * The value of {@code owner/<endpoint>}.
 *
 * @param owner the current owner; null after a release
 * @param fence the fencing number; increases with every change of owner
 * @param predecessors earlier owners that did not release the endpoint and are not cleared yet, oldest first
 */
record OwnerRecord(Incarnation owner, long fence, List<Predecessor> predecessors) {
    /** Returns the record for an endpoint that had no owner before. */
    static OwnerRecord first(Incarnation owner) {
        return new OwnerRecord(owner, 1, List.of());
    }

    /** Returns the record after a claim; the current owner, if any, becomes a predecessor unless it is cleared. */
    OwnerRecord claimedBy(Incarnation next, boolean ownerCleared) {
        List<Predecessor> all = new ArrayList<>(predecessors);
        if (owner != null && !ownerCleared) {
            all.add(new Predecessor(owner, fence, predecessors));
        }
        return new OwnerRecord(next, fence + 1, List.copyOf(all));
    }

    /** Returns the record after a release. */
    OwnerRecord released() {
        return new OwnerRecord(null, fence, predecessors);
    }

    /** Returns the record without the given predecessors. */
    OwnerRecord withoutPredecessors(List<Predecessor> cleared) {
        List<Predecessor> remaining = new ArrayList<>(predecessors);
        remaining.removeAll(cleared);
        return new OwnerRecord(owner, fence, List.copyOf(remaining));
    }

    boolean ownedBy(Incarnation incarnation) {
        return owner != null && owner.equals(incarnation);
    }

    Optional<Incarnation> currentOwner() {
        return Optional.ofNullable(owner);
    }
}
