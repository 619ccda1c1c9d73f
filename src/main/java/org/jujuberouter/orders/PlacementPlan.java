package org.jujuberouter.orders;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.misc.Json;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.StoreEntry;

/**
 * The target configuration of each engine: the value of the store key {@code orders/plan}.
 *
 * @param settingsVersion the version of the settings from which the plan was computed
 * @param targets the target configurations by endpoint
 */
public record PlacementPlan(long settingsVersion, Map<EndpointId, EngineConfig> targets) {
    static final String KEY = "orders/plan";

    /** Creates a plan with a copy of the map. */
    public PlacementPlan {
        targets = Map.copyOf(targets);
    }

    /** Returns the plan without targets. */
    public static PlacementPlan empty() {
        return new PlacementPlan(0, Map.of());
    }

    byte[] encode() {
        ObjectNode node = Json.MAPPER.createObjectNode().put("settingsVersion", settingsVersion);
        ObjectNode all = node.putObject("targets");
        Map<String, EngineConfig> sorted = new TreeMap<>();
        targets.forEach((e, t) -> sorted.put(e.value(), t));
        sorted.forEach((e, t) -> all.set(e, encode(t)));
        return node.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
    }

    static PlacementPlan decode(StoreEntry entry) throws PlatformException {
        try {
            JsonNode node = Json.MAPPER.readTree(entry.value());
            Map<EndpointId, EngineConfig> targets = new HashMap<>();
            for (Map.Entry<String, JsonNode> e : node.path("targets").properties()) {
                targets.put(EndpointId.of(e.getKey()), decode(e.getValue()));
            }
            return new PlacementPlan(node.path("settingsVersion").asLong(), targets);
        } catch (IOException | IllegalArgumentException e) {
            throw PlatformException.refused("read " + KEY, "malformed plan: " + e.getMessage());
        }
    }

    static ObjectNode encode(EngineConfig target) {
        return Json.MAPPER
                .createObjectNode()
                .put("model", target.spec().model())
                .put("adapter", target.spec().adapter())
                .put("version", target.spec().version())
                .put("role", target.role().name());
    }

    static EngineConfig decode(JsonNode node) {
        ModelSpec spec = ModelSpec.of(
                node.path("model").asText(),
                node.path("adapter").asText(),
                node.path("version").asText());
        return EngineConfig.of(spec, ServingRole.valueOf(node.path("role").asText()));
    }
}
