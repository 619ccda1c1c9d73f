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
import java.util.regex.Pattern;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.control.ControlEntry;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestTrait;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.misc.Json;
import org.jujuberouter.peer.PeerCodec;

/** Decodes and encodes the values in the platform's store. */
final class KvValueCodec {
    /** Ids of endpoints are sent in a header field of each call. */
    private static final Pattern ENDPOINT_ID = Pattern.compile("[!-~]+");

    /** Limit of a reason, in characters; it may quote a value of any size, and is kept as long as the entry. */
    private static final int MAX_REASON_LENGTH = 300;

    private KvValueCodec() {}

    /**
     * Decodes the value that a key has since the given position; an invalid value gives {@link ControlEntry.Unreadable}
     * with the reason.
     */
    static ControlEntry decode(String key, StorePosition position, String base64) {
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
                return new ControlEntry.DutyHolder(InstanceId.of(new String(value, StandardCharsets.UTF_8)), position);
            }
            if (key.startsWith(StoreKeys.USAGE_WINDOWS)) {
                long window = Long.parseLong(key.substring(StoreKeys.USAGE_WINDOWS.length()));
                return new ControlEntry.UsageWindow(window, counts(Json.MAPPER.readTree(value)));
            }
            return new ControlEntry.Unreadable("unknown key");
        } catch (IOException | IllegalArgumentException e) {
            return new ControlEntry.Unreadable(shortened(String.valueOf(e.getMessage())));
        }
    }

    private static String shortened(String reason) {
        return reason.length() <= MAX_REASON_LENGTH ? reason : reason.substring(0, MAX_REASON_LENGTH) + "...";
    }

    /** Decodes the suspect calls of a crash, no more than an instance reports: evidence is kept for many crashes. */
    private static List<List<RequestTrait>> suspects(JsonNode calls) {
        requireAtMost("suspect calls", calls.size(), PeerCodec.MAX_SUSPECTS);
        List<List<RequestTrait>> suspects = new ArrayList<>();
        for (JsonNode call : calls) {
            requireAtMost("traits of a call", call.size(), PeerCodec.MAX_TRAITS);
            List<RequestTrait> traits = new ArrayList<>();
            call.forEach(trait -> traits.add(RequestTrait.of(trait.asText())));
            if (traits.isEmpty()) {
                throw new IllegalArgumentException("a suspect call has no traits");
            }
            suspects.add(traits);
        }
        return suspects;
    }

    private static void requireAtMost(String what, int number, int limit) {
        if (number > limit) {
            throw new IllegalArgumentException(number + " " + what + ", at most " + limit + " are read");
        }
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

    /**
     * Decodes a registration. One that lacks a field which every endpoint writes stems from another writer and names no
     * endpoint, whatever the rest of it says.
     */
    private static Endpoint endpoint(String id, JsonNode entry) {
        if (!ENDPOINT_ID.matcher(id).matches()) {
            throw new IllegalArgumentException("the id is not the value of an HTTP header field");
        }
        String state = text(entry, "State");
        if (!state.equals("ready") && !state.equals("draining")) {
            throw new IllegalArgumentException("unknown State \"" + state + "\"");
        }
        JsonNode slots = entry.path("Slots");
        if (!slots.isIntegralNumber() || !slots.canConvertToInt() || slots.asInt() <= 0) {
            throw new IllegalArgumentException("Slots is not a positive integer: " + slots);
        }
        // Not used by instances, but written by every endpoint.
        text(entry, "Version");
        requireWhole(entry, "Sequence");
        return new Endpoint(
                EndpointId.of(id),
                ServiceName.of(text(entry, "Service")),
                Addresses.parse(text(entry, "Address")),
                FailureDomain.of(text(entry, "Zone")),
                slots.asInt(),
                state.equals("draining"),
                number(entry, "ColdRemainingMs"),
                entry.has("born") ? requireWhole(entry, "born") : 0);
    }

    /** Returns the field, which may have a fraction, as an integer; throws if it is missing, negative or too large. */
    private static long number(JsonNode entry, String field) {
        JsonNode value = entry.path(field);
        if (!value.isNumber() || !value.canConvertToLong() || value.asLong() < 0) {
            throw new IllegalArgumentException(field + " is not a number from 0 to 2^63 - 1: " + value);
        }
        return value.asLong();
    }

    private static long requireWhole(JsonNode entry, String field) {
        if (!entry.path(field).isIntegralNumber()) {
            throw new IllegalArgumentException(field + " is not a whole number: " + entry.path(field));
        }
        return number(entry, field);
    }

    static String text(JsonNode entry, String field) {
        return Optional.of(entry.path(field))
                .filter(JsonNode::isTextual)
                .map(JsonNode::asText)
                .filter(t -> !t.isBlank())
                .orElseThrow(() -> new IllegalArgumentException(field + " is missing, blank or not a string"));
    }
}
