package org.jujuberouter.ownership;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.StoreEntry;

/** Encodes and decodes owner records as JSON. */
final class OwnerCodec {
    private static final ObjectMapper JSON = new ObjectMapper();

    private OwnerCodec() {}

    static byte[] encode(OwnerRecord ownerRecord) {
        ObjectNode node = JSON.createObjectNode();
        if (ownerRecord.owner() != null) {
            node.set("owner", incarnation(ownerRecord.owner()));
        }
        node.put("fence", ownerRecord.fence());
        node.set("predecessors", predecessors(ownerRecord.predecessors()));
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the record of an entry; throws the exception of a refused read if the value is not an owner record. */
    static OwnerRecord decode(StoreEntry entry) throws PlatformException {
        try {
            JsonNode node = JSON.readTree(entry.value());
            Incarnation owner = node.hasNonNull("owner") ? incarnation(node.get("owner")) : null;
            return new OwnerRecord(owner, node.required("fence").asLong(), predecessors(node.path("predecessors")));
        } catch (IOException | IllegalArgumentException e) {
            throw PlatformException.refused("read " + entry.key(), "malformed owner record: " + e.getMessage());
        }
    }

    private static ObjectNode incarnation(Incarnation incarnation) {
        return JSON.createObjectNode()
                .put("instance", incarnation.instance().value())
                .put("number", incarnation.number());
    }

    private static Incarnation incarnation(JsonNode node) {
        return Incarnation.of(
                InstanceId.of(node.path("instance").asText()),
                node.path("number").asLong());
    }

    private static ArrayNode predecessors(List<Predecessor> predecessors) {
        ArrayNode array = JSON.createArrayNode();
        for (Predecessor predecessor : predecessors) {
            ObjectNode node = array.addObject();
            node.set("owner", incarnation(predecessor.owner()));
            node.put("fence", predecessor.fence());
            node.set("counted", predecessors(predecessor.predecessors()));
        }
        return array;
    }

    private static List<Predecessor> predecessors(JsonNode array) {
        List<Predecessor> list = new ArrayList<>();
        for (JsonNode node : array) {
            list.add(new Predecessor(
                    incarnation(node.path("owner")), node.path("fence").asLong(), predecessors(node.path("counted"))));
        }
        return List.copyOf(list);
    }
}
