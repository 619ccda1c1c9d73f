package org.jujuberouter.quarantine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Fingerprint;

/**
 * A quarantined request, to be written to the store with a lease of {@link #remaining()} so that instances that start
 * later refuse it too.
 *
 * <p>Ages in the store are those at the time of writing. An instance that reads an entry late therefore keeps it up to
 * an hour longer than the others.
 *
 * @param fingerprint the fingerprint of the request
 * @param crashes the crashes that count against it, each with this fingerprint only
 */
public record QuarantineEntry(Fingerprint fingerprint, List<CrashNotice> crashes) {
    /** Prefix of the keys of all entries in the store. */
    public static final String STORE_PREFIX = "quarantine/";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Makes a defensive copy. */
    public QuarantineEntry {
        crashes = List.copyOf(crashes);
    }

    /** Returns the key in the store. */
    public String storeKey() {
        return STORE_PREFIX + fingerprint;
    }

    /** Returns the time from now until the entry expires. */
    public Duration remaining() {
        Duration oldest =
                crashes.stream().map(CrashNotice::age).max(Duration::compareTo).orElse(Duration.ZERO);
        Duration left = CrashEvidence.MARK_LIFETIME.minus(oldest);
        return left.isNegative() ? Duration.ZERO : left;
    }

    /** Returns the serialized value for the store. */
    public byte[] toJson() {
        ObjectNode json = MAPPER.createObjectNode().put("fingerprint", fingerprint.value());
        for (CrashNotice crash : crashes) {
            json.withArray("crashes")
                    .addObject()
                    .put("crash", crash.crashId())
                    .put("endpoint", crash.endpoint().value())
                    .put("ageMs", crash.age().toMillis());
        }
        try {
            return MAPPER.writeValueAsBytes(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to serialize a quarantine entry", e);
        }
    }

    /** Parses a value from the store. */
    public static QuarantineEntry parse(byte[] json) throws IOException {
        JsonNode root = MAPPER.readTree(json);
        try {
            Fingerprint fingerprint = Fingerprint.of(root.path("fingerprint").asText());
            List<CrashNotice> crashes = new ArrayList<>();
            for (JsonNode crash : root.path("crashes")) {
                crashes.add(new CrashNotice(
                        crash.path("crash").asText(),
                        EndpointId.of(crash.path("endpoint").asText()),
                        Set.of(fingerprint),
                        Duration.ofMillis(crash.path("ageMs").asLong())));
            }
            return new QuarantineEntry(fingerprint, crashes);
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid quarantine entry in the store: " + e.getMessage(), e);
        }
    }
}
