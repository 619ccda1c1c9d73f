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

/** Keeps convictions in the store, so that instances that start later know them. */
final class Convictions {
    private static final Logger LOG = System.getLogger(Convictions.class.getName());

    private Convictions() {}

    /** Writes convictions in the background; all running instances already know them from the crash notices. */
    static void write(PlatformStore store, List<QuarantineEntry> convictions) {
        for (QuarantineEntry conviction : convictions) {
            LOG.log(Level.WARNING, "[quarantine] Request {0} is quarantined.", conviction.fingerprint());
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
            LOG.log(Level.WARNING, "[quarantine] Conviction was not stored: {0}", e.getMessage());
        }
    }

    /** Returns the stored convictions; none when the store does not answer. */
    static List<QuarantineEntry> read(PlatformStore store) {
        List<QuarantineEntry> found = new ArrayList<>();
        try {
            for (StoreEntry entry : store.list(QuarantineEntry.STORE_PREFIX)) {
                found.add(QuarantineEntry.parse(entry.value()));
            }
        } catch (PlatformException | IOException e) {
            LOG.log(Level.INFO, "[quarantine] Convictions were not read: {0}", e.getMessage());
        }
        return found;
    }
}
