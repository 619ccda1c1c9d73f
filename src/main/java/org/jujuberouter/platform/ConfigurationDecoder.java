package org.jujuberouter.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.Consumer;
import org.jujuberouter.catalog.ApiKeys;
import org.jujuberouter.catalog.CallerLimits;
import org.jujuberouter.catalog.Catalog;
import org.jujuberouter.catalog.Customer;
import org.jujuberouter.catalog.DomainNetwork;
import org.jujuberouter.catalog.EngineCostModel;
import org.jujuberouter.catalog.InstanceCapacity;
import org.jujuberouter.catalog.RetryPolicy;
import org.jujuberouter.catalog.Route;
import org.jujuberouter.catalog.ScalingSpec;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.configcheck.CheckedConfiguration;
import org.jujuberouter.configcheck.DeclaredCustomer;
import org.jujuberouter.configcheck.Finding;
import org.jujuberouter.configcheck.Located;
import org.jujuberouter.configcheck.MaskedKey;
import org.jujuberouter.control.ControlEntry;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;

/** Decodes the operator's configuration from its JSON form, for instances and for checks. */
final class ConfigurationDecoder {
    private static final long DEFAULT_TIMEOUT_MS = 30_000;
    private static final long MIN_STREAM_CALLER_TIMEOUT_MS = 2_000;
    private static final long CALLER_TIMEOUT_PER_OBJECTIVE = 4;
    private static final long CALLER_TIMEOUT_PER_GAP = 8;
    private static final double MS_PER_SECOND = 1_000;

    private static final double DEFAULT_BOOT_TIME_S = 8;

    /** Maximum boot time of an engine; a longer one is a mistake in the unit of the entry. */
    private static final double MAX_BOOT_TIME_S = 3_600;

    private static final int MAX_INT = Integer.MAX_VALUE;

    /** Maximum number of endpoints for one call; sums with it fit into an int. */
    private static final int MAX_ATTEMPTS = 10_000;

    private static final Set<String> ROOT_FIELDS = Set.of("Version", "Routes", "Services", "Tenants", "Limits");
    /** Includes a field of the platform that instances do not read: whether calls of a session go to one endpoint. */
    private static final Set<String> ROUTE_FIELDS = Set.of(
            "Name",
            "Host",
            "Prefix",
            "Type",
            "StreamResume",
            "TimeoutMs",
            "TargetLatencyMs",
            "TargetGapMs",
            "Priority",
            "Service",
            "Backends",
            "MaxAttempts",
            "Public",
            "SessionAffinity");

    private static final Set<String> TARGET_FIELDS = Set.of("Service", "Weight");

    /** Includes fields of the platform that instances do not read: protocol, encryption and length of the cold start. */
    private static final Set<String> SERVICE_FIELDS = Set.of(
            "Name", "HealthCheck", "MaxConnections", "ColdPerS", "Engine", "Scaling", "Protocol", "Tls", "ColdStartS");

    private static final Set<String> SCALING_FIELDS = Set.of("Min", "Max", "BootTimeS");

    /** Includes fields of the platform that instances do not read: models, links between engines, times of reports. */
    private static final Set<String> ENGINE_FIELDS = Set.of(
            "Slots",
            "KvCapacityTokens",
            "Stride",
            "step_ms",
            "per_seq_ms",
            "context_per_k",
            "read_per_s",
            "pairs_per_m",
            "chunk",
            "delays",
            "transfer_cost_per_mb",
            "HopMs",
            "KvTokenBytes",
            "LinkMbps",
            "LoadsPerS",
            "Models",
            "loads_at_once",
            "report_lag_ms",
            "usual");

    private static final Set<String> DELAY_FIELDS = Set.of("Source", "TargetVersion", "delay_ms");
    private static final Set<String> CUSTOMER_FIELDS = Set.of("Name", "ApiKeys", "Priority");
    private static final Set<String> LIMIT_FIELDS =
            Set.of("MaxHeaderBytes", "MaxBodyBytes", "HeaderTimeoutMs", "IdleTimeoutMs");

    private final Consumer<Finding> findings;
    private final EntryReader root;
    private final List<String> unreadable = new ArrayList<>();
    private final List<Located<Route>> routes = new ArrayList<>();
    private final List<Located<ServiceSpec>> services = new ArrayList<>();
    private final Set<ServiceName> declaredServices = new HashSet<>();
    private final List<Located<DeclaredCustomer>> customers = new ArrayList<>();

    private ConfigurationDecoder(JsonNode config, Consumer<Finding> findings) {
        if (!config.isObject()) {
            throw new IllegalArgumentException("the configuration is not an object");
        }
        this.findings = findings;
        root = EntryReader.of(config, "", ROOT_FIELDS, findings);
    }

    /**
     * Decodes a configuration. An entry that cannot be read is listed instead of failing the whole: otherwise the keys
     * that this version takes away would stay in force with the version before it.
     */
    static ControlEntry.Configuration decode(JsonNode config) {
        ConfigurationDecoder decoder = new ConfigurationDecoder(config, EntryReader.DISCARD);
        decoder.decodeEntries();
        Catalog catalog = Catalog.of(
                decoder.version(),
                decoder.routes.stream().map(Located::value).toList(),
                decoder.services.stream().map(Located::value).toList(),
                decoder.apiKeys(),
                decoder.limits().value());
        return new ControlEntry.Configuration(catalog, decoder.unreadable);
    }

    /** Decodes a configuration in the same way, and reports also the values that instances read leniently. */
    static CheckedConfiguration check(JsonNode config) {
        List<Finding> findings = new ArrayList<>();
        ConfigurationDecoder decoder = new ConfigurationDecoder(config, findings::add);
        decoder.root.require("Version", "a whole number from 0");
        decoder.root.require("Routes", "a list");
        decoder.root.require("Services", "a list");
        decoder.decodeEntries();
        long version = decoder.version();
        Located<CallerLimits> limits = decoder.limits();
        return new CheckedConfiguration(
                version,
                decoder.root,
                decoder.routes,
                decoder.services,
                decoder.declaredServices,
                decoder.customers,
                decoder.keysRequired(),
                limits,
                decoder.unreadable.isEmpty() && config.path("Routes").isArray(),
                findings);
    }

    private long version() {
        return root.longInteger("Version", 0, 0);
    }

    private void decodeEntries() {
        forEach("Routes", ROUTE_FIELDS, this::addRoute);
        forEach("Services", SERVICE_FIELDS, this::addService);
        forEach("Tenants", CUSTOMER_FIELDS, this::addCustomer);
    }

    private void forEach(String list, Set<String> fields, Consumer<EntryReader> action) {
        int index = 0;
        for (JsonNode entry : root.list(list)) {
            action.accept(EntryReader.of(entry, root.path(list) + "/" + index++, fields, findings));
        }
    }

    private void addUnreadable(String kind, EntryReader entry, IllegalArgumentException reason) {
        unreadable.add(kind + " " + entry.field("Name").asText() + ": " + reason.getMessage());
        if (!(reason instanceof EntryReader.InvalidEntryException)) {
            entry.error("", "", String.valueOf(reason.getMessage()));
        }
    }

    private void addRoute(EntryReader r) {
        try {
            routes.add(new Located<>(route(r), r));
        } catch (IllegalArgumentException e) {
            addUnreadable("route", r, e);
            // Without it, its calls would match a route with a shorter prefix, which leads to another service.
            if (r.field("Host").isTextual() && r.field("Prefix").isTextual()) {
                Route route = Route.unreadable(
                        r.field("Name").asText(),
                        r.field("Host").asText(),
                        r.field("Prefix").asText());
                routes.add(new Located<>(route, r));
            }
        }
    }

    private void addService(EntryReader s) {
        if (s.field("Name").isTextual() && !s.field("Name").asText().isBlank()) {
            declaredServices.add(ServiceName.of(s.field("Name").asText()));
        }
        try {
            services.add(new Located<>(service(s), s));
        } catch (IllegalArgumentException e) {
            addUnreadable("service", s, e);
        }
    }

    private void addCustomer(EntryReader t) {
        t.expectNotNull("Priority", "a whole number from 0");
        OptionalInt priority =
                t.has("Priority") ? OptionalInt.of(t.integer("Priority", 0, 0, MAX_INT)) : OptionalInt.empty();
        try {
            Customer customer = new Customer(CustomerId.of(t.text("Name")), priority);
            List<String> keys = new ArrayList<>();
            for (JsonNode key : t.list("ApiKeys")) {
                if (!key.isTextual() || key.asText().isBlank()) {
                    findings.accept(Finding.error(
                            t.path("ApiKeys") + "/" + keys.size(),
                            key.isValueNode() ? MaskedKey.of(key.asText()) : "",
                            "a text that is not blank",
                            "not a key"));
                }
                keys.add(key.asText());
            }
            customers.add(new Located<>(new DeclaredCustomer(customer, keys), t));
        } catch (IllegalArgumentException e) {
            addUnreadable("customer", t, e);
        }
    }

    private Route route(EntryReader r) {
        List<Route.WeightedService> targets = targets(r);
        RetryPolicy retryPolicy = retryPolicy(r, r.text("Type"), r.flag("StreamResume"));
        long timeoutMs = r.millis("TimeoutMs", DEFAULT_TIMEOUT_MS, 1);
        long objectiveMs = r.millis("TargetLatencyMs", 0, 0);
        long gapMs = r.millis("TargetGapMs", 0, 0);
        r.require("Name", "a text that is not blank");
        r.expectText("Name");
        return new Route(
                r.field("Name").asText(),
                r.text("Host"),
                r.text("Prefix"),
                retryPolicy,
                timeoutMs,
                objectiveMs,
                gapMs,
                retryPolicy.isStream() ? streamCallerTimeoutMs(objectiveMs, gapMs) : timeoutMs,
                r.integer("Priority", 0, 0, MAX_INT),
                targets,
                Math.clamp(r.integer("MaxAttempts", 1, 1, MAX_ATTEMPTS), 1, MAX_ATTEMPTS),
                r.flag("Public"));
    }

    /** "Service" names a single target, "Backends" several weighted ones. */
    private List<Route.WeightedService> targets(EntryReader r) {
        if (r.has("Service")) {
            return List.of(new Route.WeightedService(ServiceName.of(r.text("Service")), 1));
        }
        List<Route.WeightedService> targets = new ArrayList<>();
        for (JsonNode b : r.list("Backends")) {
            EntryReader target = EntryReader.of(b, r.path("Backends") + "/" + targets.size(), TARGET_FIELDS, findings);
            targets.add(
                    new Route.WeightedService(ServiceName.of(target.text("Service")), target.number("Weight", 1, 0)));
        }
        if (targets.isEmpty()) {
            throw r.invalid(
                    "Backends",
                    "at least one service",
                    "the route " + r.field("Name").asText() + " has no service");
        }
        return targets;
    }

    /** Returns the gap after which callers close a stream; the platform defines it as the largest of three values. */
    private static long streamCallerTimeoutMs(long objectiveMs, long gapMs) {
        return Math.max(
                MIN_STREAM_CALLER_TIMEOUT_MS,
                Math.max(CALLER_TIMEOUT_PER_OBJECTIVE * objectiveMs, CALLER_TIMEOUT_PER_GAP * gapMs));
    }

    private static RetryPolicy retryPolicy(EntryReader route, String type, boolean resumable) {
        return switch (type) {
            case "idempotent" -> RetryPolicy.IDEMPOTENT;
            case "non_idempotent" -> RetryPolicy.NON_IDEMPOTENT;
            case "streaming" -> resumable ? RetryPolicy.RESUMABLE_STREAM : RetryPolicy.STREAM;
            default ->
                throw route.invalid("Type", "idempotent, non_idempotent or streaming", "unknown route Type: " + type);
        };
    }

    private ServiceSpec service(EntryReader s) {
        JsonNode engine = s.field("Engine");
        s.expectText("HealthCheck");
        // Reports a value that is no object, which instances take for a plain service.
        EntryReader engineReader = EntryReader.of(engine, s.path("Engine"), ENGINE_FIELDS, findings);
        return new ServiceSpec(
                ServiceName.of(s.text("Name")),
                s.field("HealthCheck").asText("/"),
                s.integer("MaxConnections", MAX_INT, 0, MAX_INT),
                s.number("ColdPerS", 0, 0),
                engine.isObject() ? Optional.of(engine(engineReader)) : Optional.empty(),
                scaling(s));
    }

    /** Decodes the bounds of autoscaling; with invalid bounds the service is served by the engines that it has. */
    private Optional<ScalingSpec> scaling(EntryReader service) {
        JsonNode entry = service.field("Scaling");
        if (entry.isMissingNode() || entry.isNull()) {
            return Optional.empty();
        }
        EntryReader s = EntryReader.of(entry, service.path("Scaling"), SCALING_FIELDS, findings);
        try {
            double bootTimeS =
                    s.field("BootTimeS").isMissingNode() ? DEFAULT_BOOT_TIME_S : strictNumber(s, "BootTimeS");
            if (!(bootTimeS <= MAX_BOOT_TIME_S)) {
                throw s.invalid(
                        "BootTimeS",
                        "at most " + MAX_BOOT_TIME_S,
                        "BootTimeS " + bootTimeS + " is above " + MAX_BOOT_TIME_S);
            }
            int min = engineCount(s, "Min");
            int max = engineCount(s, "Max");
            return Optional.of(new ScalingSpec(min, max, Math.round(bootTimeS * MS_PER_SECOND)));
        } catch (IllegalArgumentException e) {
            unreadable.add("scaling of service " + service.field("Name").asText() + ": " + e.getMessage());
            if (!(e instanceof EntryReader.InvalidEntryException)) {
                s.error("", "", String.valueOf(e.getMessage()));
            }
            return Optional.empty();
        }
    }

    private static int engineCount(EntryReader scaling, String field) {
        double count = strictNumber(scaling, field);
        if (count != (int) count) {
            throw scaling.invalid(
                    field, "a whole number from 0 to " + MAX_INT, field + " is not a number of engines: " + count);
        }
        return (int) count;
    }

    private static double strictNumber(EntryReader entry, String field) {
        JsonNode value = entry.field(field);
        if (!value.isNumber()) {
            throw entry.invalid(field, "a number", field + " is not a number: " + value);
        }
        return value.doubleValue();
    }

    private EngineCostModel engine(EntryReader e) {
        return new EngineCostModel(
                e.integer("Slots", 1, 1, MAX_INT),
                e.longInteger("KvCapacityTokens", Long.MAX_VALUE, 1),
                Math.max(1, e.integer("Stride", 1, 1, MAX_INT)),
                e.number("step_ms", 0, 0),
                e.number("per_seq_ms", 0, 0),
                e.number("context_per_k", 0, 0),
                // "read_per_s" is in prompt tokens per second; the model uses tokens per millisecond.
                Math.max(0.001, e.number("read_per_s", 1_000_000, 1) / 1_000),
                e.number("pairs_per_m", 0, 0),
                e.longInteger("chunk", 2_048, 1),
                network(e));
    }

    /** Each delay applies in both directions; an entry that cannot be read counts as unknown. */
    private DomainNetwork network(EntryReader engine) {
        Map<FailureDomain, Map<FailureDomain, Double>> delays = new HashMap<>();
        int index = 0;
        for (JsonNode entry : engine.list("delays")) {
            EntryReader d = EntryReader.of(entry, engine.path("delays") + "/" + index++, DELAY_FIELDS, findings);
            if (!entry.path("Source").isTextual()
                    || !entry.path("TargetVersion").isTextual()) {
                d.error("", "Source and TargetVersion are texts", "the delay counts as unknown");
                continue;
            }
            FailureDomain one = FailureDomain.of(entry.path("Source").asText());
            FailureDomain other = FailureDomain.of(entry.path("TargetVersion").asText());
            double delayMs = Math.max(0, d.number("delay_ms", 0, 0));
            delays.computeIfAbsent(one, _ -> new HashMap<>()).put(other, delayMs);
            delays.computeIfAbsent(other, _ -> new HashMap<>()).put(one, delayMs);
        }
        double costPerMb = engine.number("transfer_cost_per_mb", DomainNetwork.DEFAULT_COST_PER_MB, 0);
        return new DomainNetwork(delays, Math.max(0, costPerMb) / 1e6);
    }

    /** The field "Tenants" alone makes keys necessary, also if it holds no customer or no key. */
    private boolean keysRequired() {
        JsonNode declared = root.field("Tenants");
        return !declared.isMissingNode() && !declared.isNull();
    }

    private ApiKeys apiKeys() {
        if (!keysRequired()) {
            return ApiKeys.notRequired();
        }
        Map<String, Customer> byKey = new HashMap<>();
        for (Located<DeclaredCustomer> declared : customers) {
            declared.value().keys().forEach(k -> byKey.put(k, declared.value().customer()));
        }
        // A call without a key must not match an entry without text.
        byKey.remove("");
        return ApiKeys.required(byKey);
    }

    private Located<CallerLimits> limits() {
        EntryReader l = EntryReader.of(root.field("Limits"), root.path("Limits"), LIMIT_FIELDS, findings);
        CallerLimits defaults = CallerLimits.defaults();
        CallerLimits limits = new CallerLimits(
                l.integer("MaxHeaderBytes", defaults.maxHeaderBytes(), 1, InstanceCapacity.MAX_HEADER_BYTES),
                l.integer("MaxBodyBytes", defaults.maxBodyBytes(), 0, InstanceCapacity.MAX_BODY_BYTES),
                l.millis("HeaderTimeoutMs", defaults.headerTimeoutMs(), 1),
                l.millis("IdleTimeoutMs", defaults.idleTimeoutMs(), 0));
        return new Located<>(limits, l);
    }
}
