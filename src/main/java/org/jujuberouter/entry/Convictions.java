package org.jujuberouter.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.misc.Json;
import org.jujuberouter.platform.PlatformException;
import org.jujuberouter.platform.PlatformStore;
import org.jujuberouter.platform.StoreEntry;
import org.jujuberouter.quarantine.Conviction;
import org.jujuberouter.quarantine.CrashNotice;

/** Keeps convictions in the store, so that instances that start later know them. */
final class Convictions {
    private static final Logger LOG = System.getLogger(Convictions.class.getName());
    private static final String PREFIX = "quarantine/";

    private Convictions() {}

    /** Writes convictions in the background; all running instances already know them from the crash notices. */
    static void write(PlatformStore store, List<Conviction> convictions) {
        for (Conviction conviction : convictions) {
            LOG.log(Level.WARNING, "[quarantine] Request {0} is quarantined.", conviction.fingerprint());
            Thread.ofVirtual().start(() -> writeOne(store, conviction));
        }
    }

    private static void writeOne(PlatformStore store, Conviction conviction) {
        ObjectNode body = Json.MAPPER.createObjectNode();
        ArrayNode crashes = body.putArray("crashes");
        for (CrashNotice crash : conviction.crashes()) {
            crashes.addObject()
                    .put("id", crash.crashId())
                    .put("endpoint", crash.endpoint().value());
        }
        try {
            byte[] value = body.toString().getBytes(StandardCharsets.UTF_8);
            store.compareAndSet(
                    conviction.storeKey(), PlatformStore.ABSENT, value, store.grantLease(conviction.remaining()));
        } catch (PlatformException e) {
            LOG.log(Level.WARNING, "[quarantine] Conviction was not stored: {0}", e.getMessage());
        }
    }

    /** Returns the stored convictions; none when the store does not answer. */
    static List<Conviction> read(PlatformStore store) {
        List<Conviction> found = new ArrayList<>();
        try {
            for (StoreEntry entry : store.list(PREFIX)) {
                Fingerprint fingerprint = Fingerprint.of(entry.key().substring(PREFIX.length()));
                List<CrashNotice> crashes = new ArrayList<>();
                for (JsonNode crash : Json.MAPPER.readTree(entry.value()).path("crashes")) {
                    crashes.add(new CrashNotice(
                            crash.path("id").asText(),
                            EndpointId.of(crash.path("endpoint").asText()),
                            Set.of(fingerprint),
                            Duration.ZERO));
                }
                found.add(new Conviction(fingerprint, crashes));
            }
        } catch (PlatformException | IOException e) {
            LOG.log(Level.INFO, "[quarantine] Convictions were not read: {0}", e.getMessage());
        }
        return found;
    }
}
