package org.jujuberouter.store;

/**
 * Names a lease of the platform store.
 *
 * @param value the store's own name of the lease
 */
public record LeaseId(String value) {
    /** Returns the lease with the given name. */
    public static LeaseId of(String value) {
        return new LeaseId(value);
    }
}
