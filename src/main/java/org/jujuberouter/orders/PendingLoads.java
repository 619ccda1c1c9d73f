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
 * The loads under way over all instances: the value of the store key {@code orders/loads}.
 *
 * @param entries each load by the name of its endpoint
 */
record PendingLoads(Map<String, Load> entries) {
    static final String KEY = "orders/loads";

    /**
     * A load under way. It belongs to the endpoint, not to an owner: a successor finishes it before any other order.
     *
     * @param fromModel the model that loses the engine
     * @param to what the engine becomes
     */
    record Load(String fromModel, EngineConfig to) {}

    static PendingLoads none() {
        return new PendingLoads(Map.of());
    }

    Load of(EndpointId endpoint) {
        return entries.get(endpoint.value());
    }

    PendingLoads with(EndpointId endpoint, Load load) {
        Map<String, Load> next = new TreeMap<>(entries);
        next.put(endpoint.value(), load);
        return new PendingLoads(next);
    }

    PendingLoads without(EndpointId endpoint) {
        Map<String, Load> next = new TreeMap<>(entries);
        next.remove(endpoint.value());
        return new PendingLoads(next);
    }

    byte[] encode() {
        ObjectNode node = Json.MAPPER.createObjectNode();
        entries.forEach((e, l) -> {
            ObjectNode load = node.putObject(e).put("from", l.fromModel());
            load.set("to", PlacementPlan.encode(l.to()));
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
            throw PlatformException.refused("read " + KEY, "the value is no list of loads: " + e.getMessage());
        }
    }

    /** The loads with the revision at which they were read; kept by one instance. */
    static final class Copy {
        PendingLoads loads = none();
        long revision = PlatformStore.ABSENT;

        void saw(java.util.Optional<StoreEntry> entry) throws PlatformException {
            loads = entry.isPresent() ? decode(entry.get()) : none();
            revision = entry.map(StoreEntry::revision).orElse(PlatformStore.ABSENT);
        }
    }
}
