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

/** Persists quarantine entries in the platform store for instances that start later. */
final class QuarantineStore {
    private static final Logger LOG = System.getLogger(QuarantineStore.class.getName());

    private QuarantineStore() {}

    /** Writes entries in the background; running instances derive the same entries from the crash notices. */
    static void write(PlatformStore store, List<QuarantineEntry> entries) {
        for (QuarantineEntry entry : entries) {
            LOG.log(Level.WARNING, "[quarantine] Requests with fingerprint {0} are quarantined", entry.fingerprint());
            Thread.ofVirtual().start(() -> writeOne(store, entry));
        }
    }

    private static void writeOne(PlatformStore store, QuarantineEntry entry) {
        try {
            store.compareAndSet(
                    entry.storeKey(), PlatformStore.ABSENT, entry.toJson(), store.grantLease(entry.remaining()));
        } catch (PlatformException e) {
            LOG.log(Level.WARNING, "[quarantine] Failed to store a quarantine entry: {0}", e.getMessage());
        }
    }

    /** Returns the stored entries up to the first that cannot be read; none if the store is unavailable. */
    static List<QuarantineEntry> read(PlatformStore store) {
        List<QuarantineEntry> entries = new ArrayList<>();
        try {
            for (StoreEntry stored : store.list(QuarantineEntry.STORE_PREFIX)) {
                entries.add(QuarantineEntry.parse(stored.value()));
            }
        } catch (PlatformException | IOException e) {
            LOG.log(Level.INFO, "[quarantine] Failed to read the stored quarantine entries: {0}", e.getMessage());
        }
        return entries;
    }
}
