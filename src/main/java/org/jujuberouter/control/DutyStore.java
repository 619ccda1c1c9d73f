package org.jujuberouter.control;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jujuberouter.duty.StoreWrite;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.InstanceId;

/** The writes to the platform's store that decide who leads and what is reported; listeners run on the event loop. */
public interface DutyStore {
    /** Creates the holder's key under the lease of the registration, unless the key exists. */
    void createHolder(InstanceId instance, Consumer<StoreWrite> listener);

    /** Deletes the holder's key if it has the given revision. */
    void deleteHolder(long revision, Consumer<StoreWrite> listener);

    /**
     * Creates the key of a window and deletes those of other windows, if the holder's key has the given revision and the
     * window has no key.
     */
    void commitWindow(
            long holderRevision,
            long window,
            Map<CustomerId, Long> counts,
            List<Long> obsolete,
            Consumer<StoreWrite> listener);
}
