package org.jujuberouter.configcheck;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.jujuberouter.misc.Json;
import org.jujuberouter.platform.ConfigurationReader;
import org.jujuberouter.platform.UnreadableDocumentException;

/** Measures the check of a document of 10,000 routes, which must take less than a second; run by hand. */
final class ConfigurationCheckBenchmark {
    private static final int ROUTES = 10_000;
    private static final int RUNS = 10;

    private ConfigurationCheckBenchmark() {}

    /** Prints the size of the document and the time of each run; the first one includes the loading of classes. */
    public static void main(String[] args) throws UnreadableDocumentException {
        byte[] document = document().toString().getBytes(StandardCharsets.UTF_8);
        System.out.println(ROUTES + " routes, " + document.length + " bytes");
        for (int i = 0; i < RUNS; i++) {
            long start = System.nanoTime();
            int findings =
                    ConfigurationChecks.run(ConfigurationReader.read(document)).size();
            System.out.println(findings + " findings in " + (System.nanoTime() - start) / 1_000_000 + " ms");
        }
    }

    private static ObjectNode document() {
        ObjectNode config = Json.MAPPER.createObjectNode().put("Version", 1);
        ArrayNode routes = config.putArray("Routes");
        for (int i = 0; i < ROUTES; i++) {
            routes.addObject()
                    .put("Name", "route-" + i)
                    .put("Host", "host-" + i % 100 + ".example")
                    .put("Prefix", "/prefix-" + i / 100 + "/")
                    .put("Type", "idempotent")
                    .put("TimeoutMs", 5_000)
                    .put("TargetLatencyMs", 1_000)
                    .put("Service", "service-" + i % 1_000)
                    .put("MaxAttempts", 3);
        }
        ArrayNode services = config.putArray("Services");
        ArrayNode customers = config.putArray("Tenants");
        for (int i = 0; i < 1_000; i++) {
            services.addObject().put("Name", "service-" + i);
            customers
                    .addObject()
                    .put("Name", "customer-" + i)
                    .putArray("ApiKeys")
                    .add("key-of-customer-" + i);
        }
        return config;
    }
}
