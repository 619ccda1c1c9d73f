package org.jujuberouter.demo;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.settings.SettingsChange;
import org.jujuberouter.settings.SettingsEditor;
import org.jujuberouter.settings.SettingsResult;
import org.jujuberouter.store.HttpPlatformStore;

/** Settings of the demo site: its services, failure domains and customers. */
final class DemoSettings {
    static final String API_KEY = "demo-key-depot";

    /** Customers of the built-in traces, whose API key is their id. */
    private static final List<String> TRACE_CUSTOMERS = List.of(
            "hatchery-korat",
            "school-khon-kaen",
            "depot-korat",
            "depot-udon",
            "depot-khon-kaen",
            "market-khon-kaen",
            "market-udon",
            "school-udon",
            "ledger-office",
            "auditor",
            "council-north",
            "builder-north",
            "architects-south",
            "surveyors",
            "builder-east",
            "engineers",
            "notary",
            "council-south",
            "owner-desk",
            "council-east");

    private DemoSettings() {}

    static void write(URI store, List<String> domains) throws IOException {
        SettingsEditor editor = SettingsEditor.of(HttpPlatformStore.at(store), Ticker.system(), Duration.ofSeconds(5));
        JsonNodeFactory json = JsonNodeFactory.instance;
        SettingsChange change = SettingsChange.of("demo-1", "demo", System.currentTimeMillis(), "set up the demo", 0)
                .set("service/assistant/kind", json.textNode("inference"))
                .set(
                        "service/assistant/model/" + DemoCaller.MODEL + "/versions",
                        json.arrayNode().add("1"))
                .set("service/ledger/kind", json.textNode("plain"))
                .set("service/filing-desk/kind", json.textNode("plain"))
                .set("global/limits.tokens-per-second", json.numberNode(100_000_000))
                .set("global/limits.long-prompts", json.numberNode(100))
                .set("customer/depot/key-hash", json.textNode(sha256(API_KEY)))
                .set("customer/depot/limits.requests-per-second", json.numberNode(1000));
        for (String customer : TRACE_CUSTOMERS) {
            change = change.set("customer/" + customer + "/key-hash", json.textNode(sha256(customer)));
        }
        for (String domain : domains) {
            change = change.set("domain/" + domain + "/region", json.textNode("isan"));
        }
        try {
            SettingsResult result = editor.apply(change);
            if (!(result instanceof SettingsResult.Accepted)) {
                throw new IOException("the demo settings were not accepted: " + result);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while writing the demo settings", e);
        }
    }

    private static String sha256(String text) {
        try {
            return HexFormat.of()
                    .formatHex(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available, although every JDK must provide it", e);
        }
    }
}
