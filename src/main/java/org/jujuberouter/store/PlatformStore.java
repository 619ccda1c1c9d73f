package org.jujuberouter.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The platform's key-value store with compare-and-swap, leases and watches.
 *
 * <p>Writes return a typed outcome, because after a lost reply it is unknown whether the write took effect. Reads throw
 * a {@link PlatformException} if the store does not respond, and can be retried.
 */
public interface PlatformStore {
    /** Expected revision of a key that must not exist. */
    long ABSENT = 0;

    /** Returns the current entry of a key; empty if the key does not exist. */
    Optional<StoreEntry> read(String key) throws PlatformException;

    /** Returns all entries whose key starts with the prefix, sorted by key. */
    List<StoreEntry> list(String prefix) throws PlatformException;

    /**
     * Writes a value if the key has the expected revision.
     *
     * @param expectedRevision the last known revision, or {@link #ABSENT} if the key must not exist
     * @param lease the lease whose end deletes the entry, or null for a permanent entry
     */
    WriteOutcome compareAndSet(String key, long expectedRevision, byte[] value, LeaseId lease);

    /** Deletes a key if it has the expected revision. */
    WriteOutcome delete(String key, long expectedRevision);

    /** Grants a lease that expires unless it is renewed within the time to live. */
    LeaseId grantLease(Duration timeToLive) throws PlatformException;

    /** Renews a lease; returns whether it was still valid. */
    boolean renewLease(LeaseId lease) throws PlatformException;

    /** Revokes a lease and deletes its entries immediately. */
    void revokeLease(LeaseId lease) throws PlatformException;

    /** Waits until the key has a revision above the given one; empty if the wait timed out. */
    Optional<StoreEntry> watch(String key, long afterRevision, Duration wait) throws PlatformException;
}
