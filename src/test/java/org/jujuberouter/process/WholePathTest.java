package org.jujuberouter.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.time.Duration;
import java.util.HexFormat;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.settings.SettingsChange;
import org.jujuberouter.settings.SettingsEditor;
import org.jujuberouter.settings.SettingsResult;
import org.jujuberouter.store.HttpPlatformStore;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards the path from a caller through separate processes, driven by the JDK's HTTP client alone. */
@Tag("process")
class WholePathTest {
    private final HttpClient http = HttpClient.newHttpClient();

    @Test
    void streamsAPromptThroughSeparateProcesses() throws Exception {
        try (ChildProcess store = ChildProcess.start("standin", "store", "--port", "0", "--control-port", "0");
                ChildProcess list = ChildProcess.start("standin", "list", "--port", "0", "--lag-ms", "0");
                ChildProcess first = ChildProcess.start("standin", "engine");
                ChildProcess second = ChildProcess.start("standin", "engine");
                ChildProcess ledger = ChildProcess.start("standin", "plain")) {
            configure(store);
            register(list, "engine-1", "ENGINE", "assistant", first.address());
            register(list, "engine-2", "ENGINE", "assistant", second.address());
            register(list, "ledger-1", "PLAIN", "ledger", ledger.address());
            try (ChildProcess entry = ChildProcess.start(
                    "entry",
                    "--instance=entry-1",
                    "--domain=khon-kaen",
                    "--listen=127.0.0.1:0",
                    "--peer-listen=127.0.0.1:0",
                    "--store=http://" + store.address(),
                    "--list=http://" + list.address())) {
                awaitReady(entry);
                register(list, "entry-1", "INSTANCE", "", entry.peerAddress());
                String body =
                        "{\"model\":\"jujube-1\",\"prompt\":\"summarise marker-42\",\"max_tokens\":5,\"stream\":true}";
                HttpResponse<String> answer = send(entry, "/v1/completions", body);
                assertEquals(200, answer.statusCode(), answer.body());
                assertTrue(answer.body().contains("marker-42"), answer.body());
                assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
                HttpResponse<String> credit = send(entry, "/services/ledger/credits", "{\"trays\":3}");
                assertEquals(201, credit.statusCode(), credit.body());
            }
        }
    }

    private static void configure(ChildProcess store) throws Exception {
        JsonNodeFactory json = JsonNodeFactory.instance;
        byte[] hash = MessageDigest.getInstance("SHA-256").digest("depot-1".getBytes(StandardCharsets.UTF_8));
        SettingsChange change = SettingsChange.of("c1", "test", 0, "set up", 0)
                .set("service/assistant/kind", json.textNode("inference"))
                .set(
                        "service/assistant/model/jujube-1/versions",
                        json.arrayNode().add("1"))
                .set("service/ledger/kind", json.textNode("plain"))
                .set("domain/khon-kaen/region", json.textNode("isan"))
                .set("customer/depot/key-hash", json.textNode(HexFormat.of().formatHex(hash)));
        HttpPlatformStore client = HttpPlatformStore.at(URI.create("http://" + store.address()));
        assertInstanceOf(
                SettingsResult.Accepted.class,
                SettingsEditor.of(client, Ticker.system(), Duration.ofSeconds(5))
                        .apply(change));
    }

    private void register(ChildProcess list, String name, String role, String service, String address)
            throws Exception {
        String row =
                "{\"name\":\"%s\",\"role\":\"%s\",\"service\":\"%s\",\"address\":\"%s\",\"domain\":\"%s\",\"state\":\"LIVE\"}"
                        .formatted(name, role, service, address, "khon-kaen");
        HttpRequest put = HttpRequest.newBuilder(URI.create("http://" + list.address() + "/v1/members/" + name))
                .PUT(BodyPublishers.ofString(row))
                .build();
        assertEquals(200, http.send(put, BodyHandlers.ofString()).statusCode());
    }

    private void awaitReady(ChildProcess entry) throws Exception {
        HttpRequest ready = HttpRequest.newBuilder(URI.create("http://" + entry.address() + "/readyz"))
                .build();
        for (int i = 0; i < 100; i++) {
            if (http.send(ready, BodyHandlers.ofString()).statusCode() == 200) {
                return;
            }
            Thread.sleep(100);
        }
        throw new AssertionError("the entry instance was not ready within 10 s");
    }

    private HttpResponse<String> send(ChildProcess entry, String path, String body) throws Exception {
        return http.send(
                HttpRequest.newBuilder(URI.create("http://" + entry.address() + path))
                        .header("Authorization", "Bearer depot-1")
                        .header("Content-Type", "application/json")
                        .POST(BodyPublishers.ofString(body))
                        .build(),
                BodyHandlers.ofString());
    }
}
