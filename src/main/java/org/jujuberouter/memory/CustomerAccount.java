package org.jujuberouter.memory;

import java.util.LinkedHashSet;
import java.util.SequencedSet;
import org.jujuberouter.id.CustomerId;

/** The memory held for the streams of one customer. Guarded by the lock of {@link MemoryBudget}. */
final class CustomerAccount {
    final CustomerId id;
    long limit;
    int streams;
    long heldBytes;
    /** Bytes that its streams hold above the guaranteed ones. */
    long sharedBytes;

    /** Streams that wait for shared bytes of this customer or the instance, the longest waiting first. */
    final SequencedSet<StreamAccount> waiting = new LinkedHashSet<>();

    CustomerAccount(CustomerId id, long limit) {
        this.id = id;
        this.limit = limit;
    }

    /** Returns the shared bytes that the streams of the customer can still reserve. */
    long available() {
        return MemoryLimits.maxShared(limit) - sharedBytes;
    }
}
