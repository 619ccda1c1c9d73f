package org.jujuberouter.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.control.ControlEntry;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestTrait;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.Json;

/** Decodes and encodes the values in the platform's store. */
final class KvValueCodec {
    private KvValueCodec() {}

    /**
     * Decodes the value that a key has since the given revision; an invalid value gives {@link ControlEntry.Unreadable}
     * with the reason.
     */
    static ControlEntry decode(String key, long revision, String base64) {
        try {
            if (key.startsWith(StoreKeys.EVACUATIONS)) {
                return new ControlEntry.Evacuation(FailureDomain.of(key.substring(StoreKeys.EVACUATIONS.length())));
            }
            if (key.startsWith(StoreKeys.QUARANTINE)) {
                return new ControlEntry.Quarantine(RequestTrait.of(key.substring(StoreKeys.QUARANTINE.length())));
            }
            byte[] value = Base64.getDecoder().decode(base64);
            if (key.equals(StoreKeys.CONFIGURATION)) {
                return ConfigurationDecoder.decode(Json.MAPPER.readTree(value));
            } else if (key.startsWith(StoreKeys.ENDPOINTS)) {
                String id = key.substring(StoreKeys.ENDPOINTS.length());
                return new ControlEntry.EndpointRegistration(endpoint(id, Json.MAPPER.readTree(value)));
            } else if (key.startsWith(StoreKeys.INSTANCES)) {
                String id = key.substring(StoreKeys.INSTANCES.length());
                JsonNode peer = Json.MAPPER.readTree(value);
                // Instances of older builds do not register their domain.
                Optional<FailureDomain> domain =
                        peer.has("Zone") ? Optional.of(FailureDomain.of(text(peer, "Zone"))) : Optional.empty();
                return new ControlEntry.Peer(InstanceId.of(id), Addresses.parse(text(peer, "peers")), domain);
            }
            if (key.startsWith(StoreKeys.CRASHES)) {
                String id = key.substring(StoreKeys.CRASHES.length()).split("/")[0];
                return new ControlEntry.EndpointCrash(EndpointId.of(id), suspects(Json.MAPPER.readTree(value)));
            }
            if (key.equals(StoreKeys.DUTY_HOLDER)) {
                return new ControlEntry.DutyHolder(InstanceId.of(new String(value, StandardCharsets.UTF_8)), revision);
            }
            if (key.startsWith(StoreKeys.USAGE_WINDOWS)) {
                long window = Long.parseLong(key.substring(StoreKeys.USAGE_WINDOWS.length()));
                return new ControlEntry.UsageWindow(window, counts(Json.MAPPER.readTree(value)));
            }
            return new ControlEntry.Unreadable("unknown key");
        } catch (IOException | IllegalArgumentException e) {
            return new ControlEntry.Unreadable(String.valueOf(e.getMessage()));
        }
    }

    private static List<List<RequestTrait>> suspects(JsonNode calls) {
        List<List<RequestTrait>> suspects = new ArrayList<>();
        for (JsonNode call : calls) {
            List<RequestTrait> traits = new ArrayList<>();
            call.forEach(trait -> traits.add(RequestTrait.of(trait.asText())));
            if (traits.isEmpty()) {
                throw new IllegalArgumentException("a suspect call has no traits");
            }
            suspects.add(traits);
        }
        return suspects;
    }

    static byte[] encodeSuspects(List<List<RequestTrait>> suspects) {
        ArrayNode calls = Json.MAPPER.createArrayNode();
        suspects.forEach(traits -> {
            ArrayNode call = calls.addArray();
            traits.forEach(t -> call.add(t.value()));
        });
        return calls.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static Map<CustomerId, Long> counts(JsonNode value) {
        Map<CustomerId, Long> counts = new HashMap<>();
        value.properties().forEach(e -> {
            if (!e.getValue().canConvertToLong()) {
                throw new IllegalArgumentException("the count of " + e.getKey() + " is no number: " + e.getValue());
            }
            counts.put(CustomerId.of(e.getKey()), e.getValue().asLong());
        });
        return counts;
    }

    /** Returns counts per customer as an object with the customers' names in order. */
    static ObjectNode counts(Map<CustomerId, Long> counts) {
        ObjectNode value = Json.MAPPER.createObjectNode();
        new TreeMap<>(counts).forEach((customer, n) -> value.put(customer.value(), n));
        return value;
    }

    static byte[] encodePeer(InetSocketAddress address, FailureDomain domain) {
        ObjectNode value = Json.MAPPER
                .createObjectNode()
                .put("peers", Addresses.format(address))
                .put("Zone", domain.value());
        return value.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static Endpoint endpoint(String id, JsonNode entry) {
        String state = text(entry, "State");
        if (!state.equals("ready") && !state.equals("draining")) {
            throw new IllegalArgumentException("unknown State \"" + state + "\"");
        }
        JsonNode slots = entry.path("Slots");
        if (!slots.canConvertToInt() || slots.asInt() <= 0) {
            throw new IllegalArgumentException("Slots is not a positive integer: " + slots);
        }
        return new Endpoint(
                EndpointId.of(id),
                ServiceName.of(text(entry, "Service")),
                Addresses.parse(text(entry, "Address")),
                FailureDomain.of(text(entry, "Zone")),
                slots.asInt(),
                state.equals("draining"),
                number(entry, "ColdRemainingMs"),
                number(entry, "born"));
    }

    /** Returns the field as an integer, or 0 if it is absent; throws if it is negative, too large or no number. */
    private static long number(JsonNode entry, String field) {
        JsonNode value = entry.path(field);
        if (value.isMissingNode()) {
            return 0;
        }
        if (!value.isNumber() || !value.canConvertToLong() || value.asLong() < 0) {
            throw new IllegalArgumentException(field + " is not a number from 0 to 2^63 - 1: " + value);
        }
        return value.asLong();
    }

    static String text(JsonNode entry, String field) {
        return Optional.of(entry.path(field))
                .filter(JsonNode::isTextual)
                .map(JsonNode::asText)
                .filter(t -> !t.isBlank())
                .orElseThrow(() -> new IllegalArgumentException(field + " is missing, blank or not a string"));
    }
}
