package org.jujuberouter.store;

/**
 * Identifier of a lease in the platform store.
 *
 * @param value the identifier assigned by the store
 */
public record LeaseId(String value) {
    /** Returns the lease identifier with the given value. */
    public static LeaseId of(String value) {
        return new LeaseId(value);
    }
}
