package org.jujuberouter.orders;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.misc.Json;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;

/**
 * The loads that are pending or running at any engine: the value of the store key {@code orders/loads}.
 *
 * @param loads the loads by the name of the endpoint
 */
record PendingLoads(Map<String, Load> loads) {
    static final String KEY = "orders/loads";

    /**
     * A pending load. It belongs to the endpoint, not to its owner: a new owner completes it before other orders.
     *
     * @param previousModel the model that the engine served before
     * @param target the configuration of the engine after the load
     */
    record Load(String previousModel, EngineConfig target) {}

    static PendingLoads none() {
        return new PendingLoads(Map.of());
    }

    Load get(EndpointId endpoint) {
        return loads.get(endpoint.value());
    }

    PendingLoads with(EndpointId endpoint, Load load) {
        Map<String, Load> next = new TreeMap<>(loads);
        next.put(endpoint.value(), load);
        return new PendingLoads(next);
    }

    PendingLoads without(EndpointId endpoint) {
        Map<String, Load> next = new TreeMap<>(loads);
        next.remove(endpoint.value());
        return new PendingLoads(next);
    }

    byte[] encode() {
        ObjectNode node = Json.MAPPER.createObjectNode();
        loads.forEach((e, l) -> {
            ObjectNode load = node.putObject(e).put("from", l.previousModel());
            load.set("to", PlacementPlan.encode(l.target()));
        });
        return node.toString().getBytes(StandardCharsets.UTF_8);
    }

    static PendingLoads decode(StoreEntry entry) throws PlatformException {
        try {
            Map<String, Load> all = new TreeMap<>();
            for (Map.Entry<String, JsonNode> e :
                    Json.MAPPER.readTree(entry.value()).properties()) {
                all.put(
                        e.getKey(),
                        new Load(
                                e.getValue().path("from").asText(),
                                PlacementPlan.decode(e.getValue().path("to"))));
            }
            return new PendingLoads(all);
        } catch (IOException | IllegalArgumentException e) {
            throw PlatformException.refused("read " + KEY, "malformed list of pending loads: " + e.getMessage());
        }
    }

    /** An instance's copy of the pending loads with the store revision at which they were read. */
    static final class Cache {
        PendingLoads pending = none();
        long revision = PlatformStore.ABSENT;

        void update(java.util.Optional<StoreEntry> entry) throws PlatformException {
            pending = entry.isPresent() ? decode(entry.get()) : none();
            revision = entry.map(StoreEntry::revision).orElse(PlatformStore.ABSENT);
        }
    }
}
