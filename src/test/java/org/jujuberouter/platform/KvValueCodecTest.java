package org.jujuberouter.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.jujuberouter.catalog.ApiKeys;
import org.jujuberouter.catalog.Catalog;
import org.jujuberouter.catalog.DomainNetwork;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.catalog.RetryPolicy;
import org.jujuberouter.catalog.Route;
import org.jujuberouter.catalog.ScalingSpec;
import org.jujuberouter.control.ControlEntry;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.misc.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against misread values of the store and against invalid values written by other programs. */
class KvValueCodecTest {
    private static final String ENTRY = """
            {"Service":"s","Address":"10.128.0.9:8080","Zone":"north","Version":"v1","Slots":11,"State":"ready",
             "ColdRemainingMs":700,"Sequence":4,"born":1700000000000}""";

    private static final StorePosition AT = StorePosition.of(1, 812);

    private static ControlEntry decode(String key, String value) {
        return KvValueCodec.decode(key, AT, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)));
    }

    private static void assertUnreadable(String value) {
        assertInstanceOf(ControlEntry.Unreadable.class, decode("servers/i-1", value), value);
    }

    @Test
    void decodesARegistration() {
        Endpoint e = assertInstanceOf(ControlEntry.EndpointRegistration.class, decode("servers/i-1", ENTRY))
                .endpoint();
        assertEquals("i-1", e.id().value());
        assertEquals(8080, e.address().getPort());
        assertEquals(700, e.coldMs());
        assertEquals(1_700_000_000_000L, e.startedAtMs());
    }

    /** Instances would compute different groups if a registration lost its domain; those of older builds have none. */
    @Test
    void decodesRegistrationsOfInstancesWithAndWithoutADomain() {
        String own = new String(
                KvValueCodec.encodePeer(new InetSocketAddress("10.128.0.9", 7000), FailureDomain.of("north")),
                StandardCharsets.UTF_8);
        ControlEntry.Peer peer = assertInstanceOf(ControlEntry.Peer.class, decode("instances/a", own));
        assertEquals(Optional.of(FailureDomain.of("north")), peer.domain());
        ControlEntry older = decode("instances/a", "{\"peers\":\"10.128.0.9:7000\"}");
        assertEquals(new ControlEntry.Peer(peer.instance(), peer.address(), Optional.empty()), older);
    }

    /** A delay that counts in one direction only would make placement differ between the two domains. */
    @Test
    void decodesDelaysBetweenDomainsInBothDirections() {
        String config = """
                {"Version":1,"Services":[{"Name":"s","Engine":{"Slots":11,"delays":[
                 {"Source":"north","TargetVersion":"south","delay_ms":1.4}],"transfer_cost_per_mb":2}}]}""";
        DomainNetwork network = assertInstanceOf(ControlEntry.Configuration.class, decode("op/config", config))
                .catalog()
                .service(ServiceName.of("s"))
                .orElseThrow()
                .engine()
                .orElseThrow()
                .network();
        FailureDomain north = FailureDomain.of("north");
        FailureDomain south = FailureDomain.of("south");
        assertEquals(2.8, network.roundTripMs(north, south));
        assertEquals(2.8, network.roundTripMs(south, north));
        assertEquals(0, network.roundTripMs(north, FailureDomain.of("east")));
        assertEquals(2e-6, network.costPerByte());
    }

    @Test
    void reportsInvalidRegistrationsAsUnreadable() {
        assertUnreadable("");
        assertUnreadable("\u0000\u0001 not json");
        assertUnreadable("[1,2]");
        assertUnreadable(ENTRY.replace("\"ready\"", "\"sleeping\""));
        assertUnreadable(ENTRY.replace("11", "\"many\""));
        assertUnreadable(ENTRY.replace("11", "-1"));
        assertUnreadable(ENTRY.replace("700", "\"soon\""));
        assertUnreadable(ENTRY.replace("10.128.0.9:8080", "engine.example:80"));
        assertUnreadable(ENTRY.replace("10.128.0.9:8080", "10.128.0.9:port"));
        assertInstanceOf(ControlEntry.Unreadable.class, KvValueCodec.decode("servers/i-1", AT, "%%%"));
    }

    /** Another writer may leave any value among the registrations; it must not end the process that reads it. */
    @Test
    void reportsExtremeValuesAsUnreadable() throws Exception {
        assertUnreadable(ENTRY.replace("10.128.0.9:8080", "10.128.0.9:70000"));
        assertUnreadable(ENTRY.replace("10.128.0.9:8080", "10.128.0.9:-1"));
        assertUnreadable(ENTRY.replace("10.128.0.9:8080", "10.128.0.9:0"));
        assertUnreadable(ENTRY.replace("10.128.0.9:8080", "10.128.0.9:99999999999"));
        assertUnreadable(ENTRY.replace("10.128.0.9:8080", "10.128.0.999:8080"));
        assertUnreadable(ENTRY.replace("10.128.0.9:8080", "10.128.0:8080"));
        assertUnreadable(ENTRY.replace("10.128.0.9:8080", "...:8080"));
        assertUnreadable(ENTRY.replace("11", "99999999999999999999"));
        assertUnreadable(ENTRY.replace("700", "99999999999999999999"));
        assertUnreadable(ENTRY.replace("700", "1e400"));
        assertUnreadable(ENTRY.replace("700", "-1"));
        assertUnreadable(ENTRY.replace("1700000000000", "9".repeat(2_000)));
        assertUnreadable("[".repeat(100_000));
        Thread smallStack = new Thread(
                null,
                () -> assertUnreadable(ENTRY.replace("11", "[".repeat(900) + "]".repeat(900))),
                "small-stack",
                256 << 10);
        AtomicReference<Throwable> failure = new AtomicReference<>();
        smallStack.setUncaughtExceptionHandler((_, e) -> failure.set(e));
        smallStack.start();
        smallStack.join();
        assertNull(failure.get());
    }

    /** An entry with some of the fields was taken for an engine, and one with the id of an engine changed its service. */
    @ParameterizedTest
    @ValueSource(strings = {"Service", "Address", "Zone", "Version", "Slots", "State", "ColdRemainingMs", "Sequence"})
    void takesARegistrationWithoutOneOfItsFieldsForThatOfAnotherWriter(String field) throws Exception {
        ObjectNode entry = (ObjectNode) Json.MAPPER.readTree(ENTRY);
        assertUnreadable(entry.deepCopy().without(field).toString());
        assertUnreadable(entry.deepCopy().putNull(field).toString());
        assertUnreadable(entry.deepCopy().put(field, true).toString());
        assertUnreadable(entry.deepCopy().set(field, entry.arrayNode().add(1)).toString());
    }

    @Test
    void readsARegistrationWithoutItsStartButNoneWhoseStartIsNotAWholeNumber() {
        String start = ",\"born\":1700000000000";
        Endpoint e = assertInstanceOf(
                        ControlEntry.EndpointRegistration.class, decode("servers/i-1", ENTRY.replace(start, "")))
                .endpoint();
        assertFalse(e.isStartKnown());
        assertUnreadable(ENTRY.replace(start, ",\"born\":\"1700000000000\""));
        assertUnreadable(ENTRY.replace(start, ",\"born\":1.5"));
        assertUnreadable(ENTRY.replace(start, ",\"born\":null"));
        assertUnreadable(ENTRY.replace("11", "11.5"));
    }

    /** Each call that was placed there failed, as the id could not be written to the header of its request. */
    @ParameterizedTest
    @ValueSource(strings = {"i-1\r", "i-1\n", "i 1", "i-\u00e9", "\u0000"})
    void takesAnIdThatNoHeaderCanHoldForThatOfAnotherWriter(String id) {
        assertInstanceOf(ControlEntry.Unreadable.class, decode("servers/" + id, ENTRY));
    }

    /** The reason quotes the value, and is kept and logged as long as the entry is in the store. */
    @Test
    void keepsLittleOfALargeEntryThatCannotBeRead() {
        ControlEntry read = decode("servers/i-1", ENTRY.replace("ready", "x".repeat(1_000_000)));
        String reason = assertInstanceOf(ControlEntry.Unreadable.class, read).reason();
        assertTrue(reason.length() < 400, () -> reason.length() + " characters");
    }

    /** Evidence is kept for many crashes, so an entry of any size filled the memory. */
    @Test
    void readsNoMoreSuspectsOfACrashThanAnInstanceReports() {
        String call = "[\"request/s/1\"]";
        assertInstanceOf(ControlEntry.EndpointCrash.class, decode("crashes/i-1/a", "[" + call + "]"));
        assertInstanceOf(
                ControlEntry.Unreadable.class, decode("crashes/i-1/a", "[" + (call + ",").repeat(999) + call + "]"));
        assertInstanceOf(
                ControlEntry.Unreadable.class,
                decode("crashes/i-1/a", "[[" + "\"part/s/1\",".repeat(999) + "\"request/s/1\"]]"));
    }

    /** Times that overflow when they are added or multiplied ended every call or body at once. */
    @Test
    void readsTimesOfAConfigurationUpToTheLongestThatCanBeCountedWith() {
        String config = """
                {"Version":1,"Routes":[{"Name":"a","Host":"h","Prefix":"/a/","Type":"streaming","Service":"s",
                 "TimeoutMs":9223372036854775807,"TargetLatencyMs":9223372036854775807,"MaxAttempts":2147483647}],
                 "Services":[{"Name":"s"}],"Limits":{"HeaderTimeoutMs":9223372036854775807}}""";
        Catalog catalog = assertInstanceOf(ControlEntry.Configuration.class, decode("op/config", config))
                .catalog();
        Route route = catalog.route("h", "/a/x").orElseThrow();
        assertEquals(Integer.MAX_VALUE, route.timeoutMs());
        assertEquals(4L * Integer.MAX_VALUE, route.callerTimeoutMs());
        assertTrue(route.maxAttempts() + 2 > 0, "attempts " + route.maxAttempts());
        assertTrue(catalog.limits().headerTimeoutMs() * 2 > 0);
    }

    @Test
    void derivesTheCallersTimeoutFromObjectiveAndGap() {
        assertEquals(2_000, callerTimeoutMs("streaming", 300, 250));
        assertEquals(10_000, callerTimeoutMs("streaming", 2_500, 1_000));
        assertEquals(4_800, callerTimeoutMs("streaming", 100, 600));
        assertEquals(9_000, callerTimeoutMs("idempotent", 300, 0), "the timeout of the route");
    }

    private static long callerTimeoutMs(String type, int objectiveMs, int gapMs) {
        String form = """
                {"Version":1,"Routes":[{"Name":"a","Host":"h","Prefix":"/a/","Type":"%s","Service":"s",
                 "TimeoutMs":9000,"TargetLatencyMs":%d,"TargetGapMs":%d}],"Services":[{"Name":"s"}]}""";
        String config = String.format(form, type, objectiveMs, gapMs);
        Catalog catalog = assertInstanceOf(ControlEntry.Configuration.class, decode("op/config", config))
                .catalog();
        return catalog.route("h", "/a/x").orElseThrow().callerTimeoutMs();
    }

    @Test
    void decodesAConfigurationAndFindsTheLongestPrefix() {
        String config = """
                {"Version":7,"Routes":[
                  {"Name":"a","Host":"h.example","Prefix":"/a/","Type":"streaming","StreamResume":true,"TimeoutMs":900,
                   "Backends":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}],"MaxAttempts":2},
                  {"Name":"b","Host":"h.example","Prefix":"/a/b/","Type":"non_idempotent","Service":"t","Public":true}],
                 "Services":[{"Name":"s","HealthCheck":"/health","ColdPerS":26.0},{"Name":"t"}],
                 "Limits":{"MaxHeaderBytes":1000},
                 "Tenants":[{"Name":"c","ApiKeys":["k1","k2"],"Priority":1}]}""";
        Catalog catalog = assertInstanceOf(ControlEntry.Configuration.class, decode("op/config", config))
                .catalog();
        assertEquals(7, catalog.version());
        assertEquals(
                RetryPolicy.RESUMABLE_STREAM,
                catalog.route("h.example", "/a/x").orElseThrow().retryPolicy());
        assertEquals("b", catalog.route("h.example", "/a/b/x").orElseThrow().name());
        assertTrue(catalog.route("h.example", "/a").isEmpty());
        assertTrue(catalog.route("other.example", "/a/x").isEmpty());
        assertEquals("c", catalog.apiKeys().customer("k2").orElseThrow().id().value());
        assertTrue(catalog.apiKeys().customer("k3").isEmpty());
        assertEquals(1_000, catalog.limits().maxHeaderBytes());
    }

    /**
     * One entry that could not be read left the whole version out of force, so a key that it takes away was accepted
     * for as long as the entry stayed.
     */
    @Test
    void takesKeysAwayAlsoIfAnotherEntryOfTheConfigurationCannotBeRead() {
        String config = """
                {"Version":8,"Routes":[
                  {"Name":"a","Host":"h","Prefix":"/a/","Type":"idempotent","Service":"s"},
                  {"Name":"b","Host":"h","Prefix":"/a/b/","Type":"of a later version","Service":"t"}],
                 "Services":[{"Name":"s"},{"Name":5}],
                 "Tenants":[{"Name":"","ApiKeys":["k0"]},{"Name":"c","ApiKeys":["k2"]}]}""";
        ControlEntry.Configuration read =
                assertInstanceOf(ControlEntry.Configuration.class, decode("op/config", config));
        assertEquals(3, read.unreadable().size(), read.unreadable().toString());
        ApiKeys keys = read.catalog().apiKeys();
        assertTrue(keys.customer("k1").isEmpty());
        assertTrue(keys.customer("k0").isEmpty());
        assertEquals("c", keys.customer("k2").orElseThrow().id().value());
        assertTrue(read.catalog().route("h", "/a/x").orElseThrow().hasService());
        assertFalse(
                read.catalog().route("h", "/a/b/x").orElseThrow().hasService(),
                "calls of the unreadable route must not match the shorter prefix");
    }

    /** Once the last key was revoked, every call was accepted, with revoked and with unknown keys. */
    @Test
    void requiresApiKeysWheneverTheConfigurationDeclaresCustomers() {
        for (String customers :
                List.of("[]", "[{\"Name\":\"c\",\"ApiKeys\":[]}]", "[{\"Name\":\"c\",\"ApiKeys\":[\"\"]}]")) {
            ApiKeys keys = apiKeys(",\"Tenants\":" + customers);
            assertTrue(keys.isRequired(), customers);
            assertTrue(keys.customer("").isEmpty(), customers);
            assertTrue(keys.customer("k1").isEmpty(), customers);
        }
        assertFalse(apiKeys("").isRequired());
        assertFalse(apiKeys(",\"Tenants\":null").isRequired());
    }

    private static ApiKeys apiKeys(String field) {
        String config = "{\"Version\":1,\"Routes\":[],\"Services\":[]" + field + "}";
        return assertInstanceOf(ControlEntry.Configuration.class, decode("op/config", config))
                .catalog()
                .apiKeys();
    }

    /** Guards against engines that are ordered by bounds that the operator cannot have meant. */
    @Test
    void leavesAServiceWithInvalidBoundsWithoutScaling() {
        assertEquals(
                Optional.of(new ScalingSpec(2, 9, 12_500)), scaling("{\"Min\":2,\"Max\":9,\"BootTimeS\":12.5}", 0));
        assertEquals(Optional.of(new ScalingSpec(0, 9, 8_000)), scaling("{\"Min\":0,\"Max\":9}", 0));
        for (String invalid : List.of(
                "7",
                "{\"Max\":9,\"BootTimeS\":8}",
                "{\"Min\":\"2\",\"Max\":9}",
                "{\"Min\":9,\"Max\":2}",
                "{\"Min\":-1,\"Max\":2}",
                "{\"Min\":0,\"Max\":0}",
                "{\"Min\":2.5,\"Max\":9}",
                "{\"Min\":2,\"Max\":9000000000}",
                "{\"Min\":2,\"Max\":9,\"BootTimeS\":0}",
                "{\"Min\":2,\"Max\":9,\"BootTimeS\":8000}")) {
            assertEquals(Optional.empty(), scaling(invalid, 1), invalid);
        }
        assertEquals(Optional.empty(), scaling("null", 0));
    }

    private static Optional<ScalingSpec> scaling(String entry, int unreadable) {
        String config = "{\"Version\":1,\"Services\":[{\"Name\":\"s\",\"Scaling\":" + entry + "}]}";
        ControlEntry.Configuration read =
                assertInstanceOf(ControlEntry.Configuration.class, decode("op/config", config));
        assertEquals(unreadable, read.unreadable().size(), entry);
        return read.catalog().service(ServiceName.of("s")).orElseThrow().scaling();
    }

    @Test
    void reportsARouteOfAnUnknownTypeAndServesNoneOfItsCalls() {
        String config =
                "{\"Version\":1,\"Routes\":[{\"Host\":\"h\",\"Prefix\":\"/\",\"Type\":\"odd\",\"Service\":\"s\"}]}";
        ControlEntry.Configuration read =
                assertInstanceOf(ControlEntry.Configuration.class, decode("op/config", config));
        assertEquals(1, read.unreadable().size());
        assertTrue(
                read.unreadable().getFirst().contains("odd"), read.unreadable().getFirst());
        assertFalse(read.catalog().route("h", "/x").orElseThrow().hasService());
    }

    @Test
    void reportsAConfigurationThatIsNoObjectAsUnreadable() {
        assertInstanceOf(ControlEntry.Unreadable.class, decode("op/config", "[]"));
        assertInstanceOf(ControlEntry.Unreadable.class, decode("op/config", "\"text\""));
        assertInstanceOf(ControlEntry.Unreadable.class, decode("op/config", ""));
    }

    /** The token of a leader is the revision at which its key was created. */
    @Test
    void decodesTheHolderOfTheDutiesWithItsRevisionAndTheCountsOfAWindow() {
        String holder = Base64.getEncoder().encodeToString("edge-1".getBytes(StandardCharsets.UTF_8));
        assertEquals(
                new ControlEntry.DutyHolder(InstanceId.of("edge-1"), AT),
                KvValueCodec.decode("duties/holder", AT, holder));
        Map<CustomerId, Long> counts = Map.of(CustomerId.of("hule930"), 412L, CustomerId.of("fida11"), 0L);
        assertEquals(
                new ControlEntry.UsageWindow(353_445_120, counts),
                decode("duties/usage/353445120", KvValueCodec.counts(counts).toString()));
        assertInstanceOf(ControlEntry.Unreadable.class, decode("duties/usage/x", "{}"));
        assertInstanceOf(ControlEntry.Unreadable.class, decode("duties/usage/1", "{\"hule930\":\"many\"}"));
    }
}
