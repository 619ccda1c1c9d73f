package org.jujuberouter.limits;

/** The part of the limits that an admitted request occupies. */
@FunctionalInterface
public interface LimitReservation {
    /** Releases the reservation and refunds the tokens charged but not used; further calls have no effect. */
    void release(long unusedTokens);
}
