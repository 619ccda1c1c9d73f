package org.jujuberouter.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jujuberouter.duty.DutySettings;
import org.jujuberouter.gateway.DutyOptions;
import org.jujuberouter.gateway.GatewayOptions;
import org.jujuberouter.gateway.OptionalFeatures;
import org.jujuberouter.gateway.ServingBounds;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Json;

/** Reads the node file, the settings file that the platform provides to each process. */
public final class NodeFile {
    /** Environment variable that holds the path of the file. */
    public static final String PATH_VARIABLE = "JUJUBEROUTER_NODE_FILE";

    /** Path used if the variable is not set. */
    public static final String DEFAULT_PATH = "/etc/jujuberouter/node.json";

    /** Rate limit of the leader's calls if none is given; enough for the reports and a few orders. */
    private static final double DEFAULT_DUTY_CALLS_PER_S = 2;

    private static final long DEFAULT_HEARTBEAT_MS = 1_200;

    private NodeFile() {}

    /** Reads the options of this instance; unknown fields are ignored. */
    public static GatewayOptions read(Path file) throws IOException {
        JsonNode node = Json.MAPPER.readTree(Files.readAllBytes(file));
        try {
            JsonNode listen = node.path("Listen");
            InetSocketAddress callers = Addresses.parse(KvValueCodec.text(listen, "Front"));
            JsonNode ports = node.path("PortRange");
            if (!ports.path(0).canConvertToInt()) {
                throw new IllegalArgumentException("PortRange is not a pair of integers: " + ports);
            }
            return new GatewayOptions(
                    InstanceId.of(KvValueCodec.text(node, "Node")),
                    FailureDomain.of(KvValueCodec.text(node, "Zone")),
                    callers,
                    Addresses.parse(KvValueCodec.text(listen, "Readiness")),
                    new InetSocketAddress(callers.getAddress(), ports.path(0).asInt()),
                    Addresses.parse(KvValueCodec.text(node.path("Platform"), "Address")),
                    Optional.empty(),
                    node.path("Bootstrap").asBoolean(),
                    OptionalFeatures.none(),
                    bounds(node.path("Bounds"), node.path("HeartbeatMs").asLong(DEFAULT_HEARTBEAT_MS)),
                    duties(node.path("Cloud"), node.path("Bounds")));
        } catch (IllegalArgumentException e) {
            throw new IOException(file + ": " + e.getMessage(), e);
        }
    }

    /** Reads the duties; the token is sent with each call, whether or not {@code RequireFencing} is set. */
    private static Optional<DutyOptions> duties(JsonNode cloud, JsonNode bounds) {
        if (!cloud.isObject()) {
            return Optional.empty();
        }
        Set<String> names = new HashSet<>();
        cloud.path("Duties").forEach(d -> names.add(d.asText()));
        if (!names.contains("usage_report") && !names.contains("autoscale")) {
            return Optional.empty();
        }
        return Optional.of(new DutyOptions(
                Addresses.parse(KvValueCodec.text(cloud, "Address")),
                new DutySettings(
                        names.contains("usage_report"),
                        names.contains("autoscale"),
                        cloud.path("DutyPerS").asDouble(DEFAULT_DUTY_CALLS_PER_S),
                        bounds.path("LeaseMs").asLong(3_000),
                        bounds.path("ThawMs").asLong(300),
                        Math.round(bounds.path("ReportWindowS").asDouble(5) * 1_000))));
    }

    private static ServingBounds bounds(JsonNode b, long heartbeatMs) {
        return new ServingBounds(
                b.path("RevokeMs").asLong(5_000),
                Math.round(b.path("GraceS").asDouble(8) * 1_000),
                b.path("RetryBudgetRatio").asDouble(0.1),
                b.path("BudgetSlack").asInt(10),
                Math.round(b.path("BudgetWindowS").asDouble(10) * 1_000),
                heartbeatMs);
    }
}
