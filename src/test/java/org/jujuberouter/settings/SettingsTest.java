package org.jujuberouter.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.ModelName;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.ManualTicker;
import org.jujuberouter.store.MemoryPlatformStore;
import org.jujuberouter.store.StoreEntry;
import org.junit.jupiter.api.Test;

/** Guards against wrong effective values, incomplete error reports and settings that revert. */
class SettingsTest {
    private static final String HASH_A = "a".repeat(64);
    private static final ServiceName ASSISTANT = ServiceName.of("assistant");
    private static final CustomerId DEPOT = CustomerId.of("depot");
    private static final InstanceId PEER_A = InstanceId.of("a");
    private static final InstanceId PEER_B = InstanceId.of("b");

    private final ManualTicker ticker = ManualTicker.atZero();
    private final MemoryPlatformStore store = MemoryPlatformStore.create(ticker);
    private final SettingsEditor editor = SettingsEditor.of(store, ticker, Duration.ZERO);
    private final SettingsCache cache = SettingsCache.create(ticker);

    @Test
    void inheritsFromServiceAndGlobalAndReportsTheSource() throws Exception {
        accept(change("c1")
                .set("global/deadline.default-ms", json("deadline.default-ms", "30000"))
                .set("service/assistant/kind", TextNode.valueOf("inference"))
                .set("service/assistant/weight", json("weight", "2"))
                .set("service/assistant/model/m1/versions", json("versions", "v2,v1"))
                .set("customer/depot/key-hash", TextNode.valueOf(HASH_A))
                .set("service/assistant/customer/depot/limits.long-prompts", json("limits.long-prompts", "1"))
                .set("domain/udon/region", TextNode.valueOf("isan"))
                .set("domain/udon/drained", json("drained", "true")));
        Settings settings = Settings.of(editor.read());
        SettingTarget inService = new SettingTarget.ServiceCustomer(ASSISTANT, DEPOT);
        SettingTarget customer = new SettingTarget.Customer(DEPOT);
        assertEquals(
                "service/assistant/customer/depot/limits.long-prompts",
                source(settings, inService, "limits.long-prompts"));
        assertEquals("service/assistant/weight", source(settings, inService, "weight"));
        assertEquals("global/deadline.default-ms", source(settings, inService, "deadline.default-ms"));
        assertEquals(EffectiveValue.DEFAULT_SOURCE, source(settings, customer, "weight"));
        assertEquals(30_000, settings.integer(customer, "deadline.default-ms"));
        assertEquals(List.of(ModelName.of("m1")), settings.models(ASSISTANT));
        assertEquals(Optional.of(DEPOT), settings.customerByKeyHash(HASH_A));
        assertTrue(settings.isDrained(FailureDomain.of("udon")));
        assertFalse(settings.isDrained(FailureDomain.of("korat")));
    }

    @Test
    void reportsAllErrorsOfAChangeAtOnce() throws Exception {
        SettingsChange invalidChange = change("c1")
                .set("global/weight", json("weight", "0"))
                .set("global/deadline.default-ms", json("deadline.default-ms", "900000"))
                .set("global/kind", TextNode.valueOf("plain"))
                .set("domain/udno/drained", json("drained", "true"))
                .set("service/desk/calls.rules", json("calls.rules", "FETCH /x idempotent"))
                .unset("customer/ghost/weight");
        SettingsResult.Invalid invalid = assertInstanceOf(SettingsResult.Invalid.class, editor.apply(invalidChange));
        List<String> messages =
                invalid.errors().stream().map(SettingsError::message).toList();
        assertEquals(7, messages.size(), messages.toString());
        assertTrue(
                messages.contains("global/weight: 0.0 is not allowed; allowed: number from 0.01 to 1 000"),
                messages.toString());
        assertTrue(
                messages.stream().anyMatch(t -> t.contains("failure domain \"udno\" does not exist")),
                messages.toString());
        assertTrue(store.read(SettingsDocument.KEY).isEmpty());
    }

    @Test
    void appliesTheFirstMatchingIdempotencyRule() {
        IdempotencyRules rules = IdempotencyRules.of(
                List.of("POST /lookup/* idempotent", "GET /credits/** non-idempotent", "POST /** non-idempotent"));
        assertTrue(rules.isIdempotent("POST", "/lookup/7"));
        assertFalse(rules.isIdempotent("POST", "/lookup/7/x"));
        assertFalse(rules.isIdempotent("GET", "/credits/1/2"));
        assertTrue(rules.isIdempotent("GET", "/balances"));
        assertFalse(rules.isIdempotent("PUT", "/balances"));
    }

    @Test
    void reportsTheConflictingChangeAndRebasesOnlyOverOtherPaths() throws Exception {
        accept(change("first").set("global/weight", json("weight", "2")));
        SettingsResult overlapping = editor.apply(change("second").set("global/weight", json("weight", "3")));
        assertEquals(
                List.of("first"),
                assertInstanceOf(SettingsResult.Conflict.class, overlapping).winners().stream()
                        .map(ChangeRecord::changeId)
                        .toList());
        SettingsChange disjoint = change("third").set("global/retry.budget", json("retry.budget", "0.2"));
        assertInstanceOf(SettingsResult.Conflict.class, editor.apply(disjoint.withRebase(false)));
        assertInstanceOf(SettingsResult.Accepted.class, editor.apply(disjoint));
        assertTrue(assertInstanceOf(SettingsResult.Accepted.class, editor.apply(disjoint))
                .resolved());
        assertEquals(2, editor.read().version());
    }

    @Test
    void keepsTheSettingsAndReportsAProblemWhenTheStoreIsRestoredToAnOlderState() throws Exception {
        SettingsWatcher watch = SettingsWatcher.of(store, cache);
        accept(change("c1").set("global/weight", json("weight", "2")));
        byte[] restored = store.read(SettingsDocument.KEY).orElseThrow().value();
        accept(change("c2").set("global/retry.budget", json("retry.budget", "0.2")));
        watch.step();
        assertEquals(2, cache.version());
        store.compareAndSet(SettingsDocument.KEY, revision(), restored, null);
        watch.step();
        assertEquals(2, cache.version());
        assertTrue(cache.problem().contains("version 1, older than version 2"), cache.problem());
        accept(change("c3").set("global/weight", json("weight", "3")));
        watch.step();
        assertTrue(cache.problem().contains("another version 2"), cache.problem());
        accept(change("c4").set("global/weight", json("weight", "4")).withVersionAbove(2));
        watch.step();
        assertEquals(3, cache.version());
        assertEquals("", cache.problem());
        store.compareAndSet(SettingsDocument.KEY, revision(), new byte[] {'{'}, null);
        watch.step();
        assertEquals(3, cache.version());
        assertTrue(cache.problem().contains("cannot be read"), cache.problem());
    }

    @Test
    void pullsFromPeersInTurnAndIsNotReadyBeforeTheFirstDocument() throws Exception {
        accept(change("c1").set("global/weight", json("weight", "2")));
        assertFalse(cache.isReady());
        assertTrue(cache.startPull().isEmpty());
        cache.observePeer(PEER_A, 1);
        cache.observePeer(PEER_B, 1);
        assertEquals(Optional.of(PEER_A), cache.startPull());
        assertTrue(cache.startPull().isEmpty());
        ticker.advance(SettingsCache.PULL_TIMEOUT);
        assertEquals(Optional.of(PEER_B), cache.startPull());
        assertTrue(cache.updateFromPeer(editor.read()));
        assertTrue(cache.isReady());
        cache.observePeer(PEER_A, 2);
        assertTrue(cache.startPull().isEmpty());
        ticker.advance(SettingsCache.PULL_DELAY);
        assertEquals(Optional.of(PEER_A), cache.startPull());
    }

    @Test
    void pullsFirstFromThePeerWithTheLatestHeartbeat() {
        cache.observePeer(PEER_A, 1);
        ticker.advance(Duration.ofSeconds(1));
        cache.observePeer(PEER_B, 1);
        assertEquals(Optional.of(PEER_B), cache.startPull());
    }

    @Test
    void doesNotPullFromARemovedPeerOrAcceptAnOlderVersion() {
        cache.observePeer(PEER_A, 5);
        cache.removePeer(PEER_A);
        assertTrue(cache.startPull().isEmpty());
        assertFalse(cache.updateFromPeer(SettingsDocument.empty()));
    }

    private void accept(SettingsChange change) throws Exception {
        SettingsChange current = new SettingsChange(
                change.changeId(), "op", 0, "", editor.read().version(), false, change.aboveVersion(), change.edits());
        assertInstanceOf(SettingsResult.Accepted.class, editor.apply(current));
    }

    private long revision() {
        return store.read(SettingsDocument.KEY).map(StoreEntry::revision).orElse(0L);
    }

    private static SettingsChange change(String id) {
        return SettingsChange.of(id, "op", 0, "", 0);
    }

    private static JsonNode json(String setting, String text) {
        return SettingsSchema.standard().find(setting).orElseThrow().type().parse(text);
    }

    private static String source(Settings settings, SettingTarget target, String name) {
        return settings.effective(target, name).orElseThrow().source();
    }
}
