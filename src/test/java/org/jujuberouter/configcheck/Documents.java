package org.jujuberouter.configcheck;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.jujuberouter.misc.Json;
import org.jujuberouter.platform.ConfigurationReader;
import org.jujuberouter.platform.UnreadableDocumentException;

/** A valid document with every field, and changes of it. */
final class Documents {
    static final String VALID = """
            {"Version":7,
             "Routes":[
              {"Name":"chat","Host":"h","Prefix":"/chat/","Type":"streaming","StreamResume":true,"TimeoutMs":5000,
               "TargetLatencyMs":1000,"TargetGapMs":250,"Priority":1,"MaxAttempts":3,"Public":false,
               "Backends":[{"Service":"big","Weight":90},{"Service":"small","Weight":10}]},
              {"Name":"post","Host":"h","Prefix":"/post/","Type":"non_idempotent","Service":"ledger"}],
             "Services":[
              {"Name":"big","HealthCheck":"/health","MaxConnections":110,"ColdPerS":26.0,"Protocol":"h1","Tls":false,
               "ColdStartS":3.0,"Scaling":{"Min":2,"Max":9,"BootTimeS":6},
               "Engine":{"Slots":8,"KvCapacityTokens":200000,"Stride":40,"step_ms":1.0,"per_seq_ms":0.0033,
                "context_per_k":0.00431,"read_per_s":200000,"pairs_per_m":0.1,"chunk":2048,"transfer_cost_per_mb":0.75,
                "delays":[{"Source":"north","TargetVersion":"south","delay_ms":1.4}]}},
              {"Name":"small"},{"Name":"ledger"}],
             "Tenants":[{"Name":"c","ApiKeys":["key-of-c-1","key-of-c-2"],"Priority":1},
              {"Name":"d","ApiKeys":["key-of-d"]}],
             "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":1048576,"HeaderTimeoutMs":1000,"IdleTimeoutMs":5000}}""";

    private Documents() {}

    /** Returns the valid document with one value replaced, added, appended (index "-") or, if null, removed. */
    static String with(String pointer, String value) {
        return with(VALID, pointer, value);
    }

    static String with(String document, String pointer, String value) {
        try {
            JsonNode root = Json.MAPPER.readTree(document);
            JsonPointer at = JsonPointer.compile(pointer);
            JsonNode parent = root.at(at.head());
            String name = at.last().getMatchingProperty();
            if (parent instanceof ArrayNode list && value == null) {
                list.remove(Integer.parseInt(name));
            } else if (parent instanceof ArrayNode list && name.equals("-")) {
                list.add(Json.MAPPER.readTree(value));
            } else if (parent instanceof ArrayNode list) {
                list.set(Integer.parseInt(name), Json.MAPPER.readTree(value));
            } else if (value == null) {
                ((ObjectNode) parent).remove(name);
            } else {
                ((ObjectNode) parent).set(name, Json.MAPPER.readTree(value));
            }
            return root.toString();
        } catch (IOException e) {
            throw new IllegalArgumentException(pointer, e);
        }
    }

    static List<Finding> findings(String document) {
        return ConfigurationChecks.run(read(document));
    }

    static CheckedConfiguration read(String document) {
        try {
            return ConfigurationReader.read(document.getBytes(StandardCharsets.UTF_8));
        } catch (UnreadableDocumentException e) {
            throw new IllegalArgumentException(document, e);
        }
    }

    /** Returns severity and path of each finding. */
    static List<String> places(List<Finding> findings) {
        return findings.stream().map(f -> f.severity() + " " + f.path()).toList();
    }
}
