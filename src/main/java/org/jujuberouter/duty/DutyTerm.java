package org.jujuberouter.duty;

import org.jujuberouter.id.StorePosition;

/**
 * The time for which one instance is the leader.
 *
 * @param createdAt the position of the store at which the instance became the leader
 */
public record DutyTerm(StorePosition createdAt) {
    /** Returns the fencing token of its calls; it is higher than those of all earlier terms of the same era. */
    public long token() {
        return createdAt.revision();
    }
}
