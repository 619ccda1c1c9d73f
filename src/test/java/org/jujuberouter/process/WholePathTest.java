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

/** Sends completions and plain calls through a deployment of separate processes with the JDK's HTTP client only. */
@Tag("process")
class WholePathTest {
    private final HttpClient http = HttpClient.newHttpClient();

    @Test
    void streamsAPromptThroughSeparateProcesses() throws Exception {
        try (ChildProcess store = ChildProcess.start("standin", "store", "--port", "0", "--control-port", "0");
                ChildProcess memberList = ChildProcess.start("standin", "list", "--port", "0", "--lag-ms", "0");
                ChildProcess firstEngine = ChildProcess.start("standin", "engine");
                ChildProcess secondEngine = ChildProcess.start("standin", "engine");
                ChildProcess ledger = ChildProcess.start("standin", "plain")) {
            configure(store);
            register(memberList, "engine-1", "ENGINE", "assistant", firstEngine.address());
            register(memberList, "engine-2", "ENGINE", "assistant", secondEngine.address());
            register(memberList, "ledger-1", "PLAIN", "ledger", ledger.address());
            try (ChildProcess instance = ChildProcess.start(
                    "entry",
                    "--instance=entry-1",
                    "--domain=khon-kaen",
                    "--listen=127.0.0.1:0",
                    "--peer-listen=127.0.0.1:0",
                    "--store=http://" + store.address(),
                    "--list=http://" + memberList.address())) {
                awaitReady(instance);
                register(memberList, "entry-1", "INSTANCE", "", instance.peerAddress());
                String body =
                        "{\"model\":\"jujube-1\",\"prompt\":\"summarise marker-42\",\"max_tokens\":5,\"stream\":true}";
                HttpResponse<String> answer = send(instance, "/v1/completions", body);
                assertEquals(200, answer.statusCode(), answer.body());
                assertTrue(answer.body().contains("marker-42"), answer.body());
                assertTrue(answer.body().endsWith("data: [DONE]\n\n"), answer.body());
                HttpResponse<String> credit = send(instance, "/services/ledger/credits", "{\"trays\":3}");
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

    private void register(ChildProcess memberList, String name, String role, String service, String address)
            throws Exception {
        String member =
                "{\"name\":\"%s\",\"role\":\"%s\",\"service\":\"%s\",\"address\":\"%s\",\"domain\":\"%s\",\"state\":\"LIVE\"}"
                        .formatted(name, role, service, address, "khon-kaen");
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + memberList.address() + "/v1/members/" + name))
                .PUT(BodyPublishers.ofString(member))
                .build();
        assertEquals(200, http.send(request, BodyHandlers.ofString()).statusCode());
    }

    private void awaitReady(ChildProcess instance) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + instance.address() + "/readyz"))
                .build();
        for (int i = 0; i < 100; i++) {
            if (http.send(request, BodyHandlers.ofString()).statusCode() == 200) {
                return;
            }
            Thread.sleep(100);
        }
        throw new AssertionError("the instance did not report readiness in 100 attempts, 100 ms apart");
    }

    private HttpResponse<String> send(ChildProcess instance, String path, String body) throws Exception {
        return http.send(
                HttpRequest.newBuilder(URI.create("http://" + instance.address() + path))
                        .header("Authorization", "Bearer depot-1")
                        .header("Content-Type", "application/json")
                        .POST(BodyPublishers.ofString(body))
                        .build(),
                BodyHandlers.ofString());
    }
}
