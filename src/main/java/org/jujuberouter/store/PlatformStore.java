package org.jujuberouter.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The platform's key-value service with compare-and-swap, leases and watches.
 *
 * <p>Every write answers with a typed outcome, because a lost reply leaves open whether the write took effect. Reads throw
 * a {@link PlatformException} when the store did not answer; they can simply be tried again.
 */
public interface PlatformStore {
    /** The revision to expect for a key that must not exist. */
    long ABSENT = 0;

    /** Returns the current value of a key. */
    Optional<StoreEntry> read(String key) throws PlatformException;

    /** Returns all entries whose key starts with the prefix, in key order. */
    List<StoreEntry> list(String prefix) throws PlatformException;

    /**
     * Writes a value if the key is at the expected revision.
     *
     * @param expectedRevision the revision last seen, or {@link #ABSENT}
     * @param lease the lease with which the entry ends, or null for an entry that stays
     */
    WriteOutcome compareAndSet(String key, long expectedRevision, byte[] value, LeaseId lease);

    /** Deletes a key if it is at the expected revision. */
    WriteOutcome delete(String key, long expectedRevision);

    /** Grants a lease that ends unless it is renewed within the time to live. */
    LeaseId grantLease(Duration timeToLive) throws PlatformException;

    /** Renews a lease and tells whether it was still valid. */
    boolean renewLease(LeaseId lease) throws PlatformException;

    /** Ends a lease and deletes its entries at once. */
    void revokeLease(LeaseId lease) throws PlatformException;

    /** Waits until the key has a revision above the given one; empty when the wait ended without a change. */
    Optional<StoreEntry> watch(String key, long afterRevision, Duration wait) throws PlatformException;
}
