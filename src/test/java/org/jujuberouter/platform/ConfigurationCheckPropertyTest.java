package org.jujuberouter.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.jujuberouter.catalog.Catalog;
import org.jujuberouter.catalog.Route;
import org.jujuberouter.configcheck.ConfigurationChecks;
import org.jujuberouter.configcheck.Finding;
import org.jujuberouter.configcheck.Severity;
import org.jujuberouter.control.ControlEntry;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.misc.Json;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * Guards against a check that disagrees with the instances: a document that it passes and an instance rejects or reads
 * otherwise, and findings for a document that is valid.
 */
class ConfigurationCheckPropertyTest {
    private static final int SEEDS = 3_000;

    /** Values of all types, at and beyond the usual bounds. */
    private static final List<String> VALUES = List.of(
            "null",
            "true",
            "0",
            "1",
            "-1",
            "2.5",
            "1e400",
            "9223372036854775808",
            "\"\"",
            "\" \"",
            "\"x\"",
            "\"/x/\"",
            "[]",
            "{}",
            "[5]",
            "[null]",
            "[{}]",
            "[\"x\"]",
            "{\"Name\":\"x\"}");

    private static String valid;

    @BeforeAll
    static void readTheConfigurationOfTheStandins() throws IOException {
        try (StandinSite site = StandinSite.start(0, 0, 10)) {
            site.configure(true);
            valid = storedConfiguration(site);
        }
    }

    private static String storedConfiguration(StandinSite site) throws IOException {
        URI uri = URI.create("http://127.0.0.1:" + site.store().address().getPort() + "/v1/kv-range?Prefix=op/config");
        try (InputStream in = uri.toURL().openStream()) {
            JsonNode item = Json.MAPPER.readTree(in).path("Items").path(0);
            return new String(Base64.getDecoder().decode(item.path("Value").asText()), StandardCharsets.UTF_8);
        }
    }

    @Test
    void findsNothingInTheConfigurationsOfTheStandinsAndTests() throws Exception {
        assertEquals(List.of(), findings(valid));
        // The document of KvValueCodecTest, and one with all fields that the platform's own examples have.
        assertEquals(List.of(), findings("""
                {"Version":7,"Routes":[
                  {"Name":"a","Host":"h.example","Prefix":"/a/","Type":"streaming","StreamResume":true,"TimeoutMs":900,
                   "Backends":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}],"MaxAttempts":2},
                  {"Name":"b","Host":"h.example","Prefix":"/a/b/","Type":"non_idempotent","Service":"t","Public":true}],
                 "Services":[{"Name":"s","HealthCheck":"/health","ColdPerS":26.0},{"Name":"t"}],
                 "Limits":{"MaxHeaderBytes":1000},
                 "Tenants":[{"Name":"c","ApiKeys":["k1","k2"],"Priority":1}]}"""));
        assertEquals(List.of(), findings("""
                {"Version":7,"Routes":[{"Name":"r-lohu930","Host":"lab.example","Prefix":"/lohu930/","Type":"streaming",
                  "TimeoutMs":15000,"TargetLatencyMs":2500,"Priority":1,"Service":"huvo11a","MaxAttempts":2,
                  "Public":false,"SessionAffinity":true,"StreamResume":true,"TargetGapMs":1000}],
                 "Services":[{"Name":"huvo11a","HealthCheck":"/health","MaxConnections":304,"Protocol":"h1","Tls":false,
                  "ColdStartS":3.0,"ColdPerS":26.0,"Engine":{"Slots":11,"KvCapacityTokens":232000,"Stride":43,
                  "step_ms":1.02,"per_seq_ms":0.0033,"context_per_k":0.00431,"read_per_s":206000.0,"pairs_per_m":0.138,
                  "chunk":2048}}],
                 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
                 "Tenants":[{"Name":"hule930","ApiKeys":["hunu-lime-0932"],"Priority":1}]}"""));
    }

    /** Each seed changes up to three values of the valid document at random places. */
    @Test
    void passesWhatAnInstanceLoadsAndReportsWhatItRejects() throws Exception {
        int passed = 0;
        int rejected = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            String document = changed(new Random(seed));
            String context = "seed " + seed + ": " + document;
            Optional<List<Finding>> findings = findingsIfReadable(document);
            boolean errors =
                    findings.isEmpty() || findings.get().stream().anyMatch(f -> f.severity() == Severity.ERROR);
            ControlEntry loaded = load(document);
            if (errors) {
                rejected++;
            } else {
                passed++;
                assertLoaded(document, loaded, context);
            }
            if (!(loaded instanceof ControlEntry.Configuration c)
                    || !c.unreadable().isEmpty()) {
                assertTrue(errors, context);
            }
            findings.ifPresent(f -> assertEquals(f.size(), new HashSet<>(f).size(), context));
        }
        assertTrue(passed > SEEDS / 20 && rejected > SEEDS / 20, passed + " passed, " + rejected + " rejected");
    }

    /** Every route of the document matches its own prefix and leads to a service that is declared. */
    private static void assertLoaded(String document, ControlEntry loaded, String context) throws IOException {
        ControlEntry.Configuration configuration = assertInstanceOf(ControlEntry.Configuration.class, loaded, context);
        assertEquals(List.of(), configuration.unreadable(), context);
        Catalog catalog = configuration.catalog();
        JsonNode root = Json.MAPPER.readTree(document);
        assertEquals(root.path("Version").asLong(-1), catalog.version(), context);
        assertEquals(root.path("Services").size(), catalog.services().size(), context);
        for (JsonNode entry : root.path("Routes")) {
            Route route = catalog.route(
                            entry.path("Host").asText(), entry.path("Prefix").asText() + "x")
                    .orElseThrow(() -> new AssertionError(context));
            assertTrue(catalog.service(route.serviceFor(5)).isPresent(), context);
        }
        Set<String> keys = new HashSet<>();
        root.path("Tenants").forEach(t -> t.path("ApiKeys").forEach(k -> keys.add(k.asText())));
        keys.forEach(k -> assertTrue(catalog.apiKeys().customer(k).isPresent(), context));
    }

    private static String changed(Random random) throws IOException {
        JsonNode root = Json.MAPPER.readTree(valid);
        int changes = 1 + random.nextInt(3);
        for (int i = 0; i < changes; i++) {
            List<JsonNode> containers = new ArrayList<>();
            collect(root, containers);
            JsonNode container = containers.get(random.nextInt(containers.size()));
            JsonNode value = Json.MAPPER.readTree(VALUES.get(random.nextInt(VALUES.size())));
            if (container.isEmpty()) {
                continue;
            }
            int index = random.nextInt(container.size());
            if (container instanceof ArrayNode list) {
                switch (random.nextInt(3)) {
                    case 0 -> list.remove(index);
                    case 1 -> list.set(index, value);
                    default -> list.add(list.get(random.nextInt(list.size())).deepCopy());
                }
            } else if (container instanceof ObjectNode object) {
                List<String> names = new ArrayList<>();
                object.fieldNames().forEachRemaining(names::add);
                if (random.nextInt(3) == 0) {
                    object.remove(names.get(index));
                } else {
                    object.set(names.get(index), value);
                }
            }
        }
        return root.toString();
    }

    private static void collect(JsonNode node, List<JsonNode> containers) {
        if (node.isContainerNode()) {
            containers.add(node);
            node.forEach(child -> collect(child, containers));
        }
    }

    private static List<Finding> findings(String document) throws UnreadableDocumentException {
        return ConfigurationChecks.run(ConfigurationReader.read(document.getBytes(StandardCharsets.UTF_8)));
    }

    private static Optional<List<Finding>> findingsIfReadable(String document) {
        try {
            return Optional.of(findings(document));
        } catch (UnreadableDocumentException e) {
            return Optional.empty();
        }
    }

    private static ControlEntry load(String document) {
        byte[] bytes = document.getBytes(StandardCharsets.UTF_8);
        return KvValueCodec.decode(
                "op/config", StorePosition.NONE, Base64.getEncoder().encodeToString(bytes));
    }
}
