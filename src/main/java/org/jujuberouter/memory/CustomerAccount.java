package org.jujuberouter.memory;

import java.util.LinkedHashSet;
import java.util.SequencedSet;
import org.jujuberouter.id.CustomerId;

/** One level of the ledger: the streams of a customer. Guarded by the ledger's lock. */
final class CustomerAccount {
    final CustomerId id;
    long bound;
    int streams;
    long heldBytes;
    /** The bytes that its streams hold above their floors. */
    long sharedBytes;

    /** Streams that could go on if there were room at this customer or the instance, the longest waiting first. */
    final SequencedSet<StreamAccount> waiting = new LinkedHashSet<>();

    CustomerAccount(CustomerId id, long bound) {
        this.id = id;
        this.bound = bound;
    }

    /** Returns the bytes that can still be held above the floors. */
    long room() {
        return MemoryLimits.maxShared(bound) - sharedBytes;
    }
}
