package org.jujuberouter.limits;

/** What an admitted request uses. */
@FunctionalInterface
public interface LimitReservation {
    /** Ends the use and gives back the tokens that were charged but not used; a second call does nothing. */
    void release(long unusedTokens);
}
