package org.jujuberouter.entry;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.List;
import org.jujuberouter.quarantine.QuarantineEntry;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;

/** Persists convictions in the platform store for instances that start later. */
final class QuarantineStore {
    private static final Logger LOG = System.getLogger(QuarantineStore.class.getName());

    private QuarantineStore() {}

    /** Writes convictions in the background; running instances derive the same convictions from the crash notices. */
    static void write(PlatformStore store, List<QuarantineEntry> convictions) {
        for (QuarantineEntry conviction : convictions) {
            LOG.log(
                    Level.WARNING,
                    "[quarantine] Requests with fingerprint {0} are quarantined",
                    conviction.fingerprint());
            Thread.ofVirtual().start(() -> writeOne(store, conviction));
        }
    }

    private static void writeOne(PlatformStore store, QuarantineEntry conviction) {
        try {
            store.compareAndSet(
                    conviction.storeKey(),
                    PlatformStore.ABSENT,
                    conviction.toJson(),
                    store.grantLease(conviction.remaining()));
        } catch (PlatformException e) {
            LOG.log(Level.WARNING, "[quarantine] Failed to store a conviction: {0}", e.getMessage());
        }
    }

    /** Returns the stored convictions up to the first that cannot be read; none if the store is unavailable. */
    static List<QuarantineEntry> read(PlatformStore store) {
        List<QuarantineEntry> found = new ArrayList<>();
        try {
            for (StoreEntry entry : store.list(QuarantineEntry.STORE_PREFIX)) {
                found.add(QuarantineEntry.parse(entry.value()));
            }
        } catch (PlatformException | IOException e) {
            LOG.log(Level.INFO, "[quarantine] Failed to read the stored convictions: {0}", e.getMessage());
        }
        return found;
    }
}
