package org.jujuberouter.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.jujuberouter.catalog.ApiKeys;
import org.jujuberouter.catalog.CallerLimits;
import org.jujuberouter.catalog.Catalog;
import org.jujuberouter.catalog.Customer;
import org.jujuberouter.catalog.DomainNetwork;
import org.jujuberouter.catalog.EngineCostModel;
import org.jujuberouter.catalog.RetryPolicy;
import org.jujuberouter.catalog.Route;
import org.jujuberouter.catalog.ScalingSpec;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.control.ControlEntry;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;

/** Decodes the operator's configuration from its JSON form. */
final class ConfigurationDecoder {
    private static final long DEFAULT_TIMEOUT_MS = 30_000;
    private static final long MIN_STREAM_CALLER_TIMEOUT_MS = 2_000;
    private static final long CALLER_TIMEOUT_PER_OBJECTIVE = 4;
    private static final long CALLER_TIMEOUT_PER_GAP = 8;
    private static final double MS_PER_SECOND = 1_000;

    private static final double DEFAULT_BOOT_TIME_S = 8;

    /** Maximum boot time of an engine; a longer one is a mistake in the unit of the entry. */
    private static final double MAX_BOOT_TIME_S = 3_600;

    private ConfigurationDecoder() {}

    /**
     * Decodes a configuration. An entry that cannot be read is listed instead of failing the whole: otherwise the keys
     * that this version takes away would stay in force with the version before it.
     */
    static ControlEntry.Configuration decode(JsonNode config) {
        if (!config.isObject()) {
            throw new IllegalArgumentException("the configuration is not an object");
        }
        List<String> unreadable = new ArrayList<>();
        List<Route> routes = new ArrayList<>();
        for (JsonNode r : config.path("Routes")) {
            try {
                routes.add(route(r));
            } catch (IllegalArgumentException e) {
                unreadable.add("route " + r.path("Name").asText() + ": " + e.getMessage());
                // Without it, its calls would match a route with a shorter prefix, which leads to another service.
                if (r.path("Host").isTextual() && r.path("Prefix").isTextual()) {
                    routes.add(Route.unreadable(
                            r.path("Name").asText(),
                            r.path("Host").asText(),
                            r.path("Prefix").asText()));
                }
            }
        }
        List<ServiceSpec> services = new ArrayList<>();
        for (JsonNode s : config.path("Services")) {
            try {
                services.add(service(s, unreadable));
            } catch (IllegalArgumentException e) {
                unreadable.add("service " + s.path("Name").asText() + ": " + e.getMessage());
            }
        }
        Catalog catalog = Catalog.of(
                config.path("Version").asLong(), routes, services, apiKeys(config, unreadable), limits(config));
        return new ControlEntry.Configuration(catalog, unreadable);
    }

    private static Route route(JsonNode r) {
        List<Route.WeightedService> targets = new ArrayList<>();
        // "Service" names a single target, "Backends" several weighted ones.
        if (r.has("Service")) {
            targets.add(new Route.WeightedService(ServiceName.of(KvValueCodec.text(r, "Service")), 1));
        } else {
            r.path("Backends")
                    .forEach(b -> targets.add(new Route.WeightedService(
                            ServiceName.of(KvValueCodec.text(b, "Service")),
                            b.path("Weight").asDouble(1))));
        }
        if (targets.isEmpty()) {
            throw new IllegalArgumentException("the route " + r.path("Name").asText() + " has no service");
        }
        RetryPolicy retryPolicy =
                retryPolicy(KvValueCodec.text(r, "Type"), r.path("StreamResume").asBoolean());
        long timeoutMs = r.path("TimeoutMs").asLong(DEFAULT_TIMEOUT_MS);
        long objectiveMs = r.path("TargetLatencyMs").asLong();
        long gapMs = r.path("TargetGapMs").asLong();
        return new Route(
                r.path("Name").asText(),
                KvValueCodec.text(r, "Host"),
                KvValueCodec.text(r, "Prefix"),
                retryPolicy,
                timeoutMs,
                objectiveMs,
                gapMs,
                retryPolicy.isStream() ? streamCallerTimeoutMs(objectiveMs, gapMs) : timeoutMs,
                r.path("Priority").asInt(),
                targets,
                Math.max(1, r.path("MaxAttempts").asInt(1)),
                r.path("Public").asBoolean());
    }

    /** Returns the gap after which callers close a stream; the platform defines it as the largest of three values. */
    private static long streamCallerTimeoutMs(long objectiveMs, long gapMs) {
        return Math.max(
                MIN_STREAM_CALLER_TIMEOUT_MS,
                Math.max(CALLER_TIMEOUT_PER_OBJECTIVE * objectiveMs, CALLER_TIMEOUT_PER_GAP * gapMs));
    }

    private static RetryPolicy retryPolicy(String type, boolean resumable) {
        return switch (type) {
            case "idempotent" -> RetryPolicy.IDEMPOTENT;
            case "non_idempotent" -> RetryPolicy.NON_IDEMPOTENT;
            case "streaming" -> resumable ? RetryPolicy.RESUMABLE_STREAM : RetryPolicy.STREAM;
            default -> throw new IllegalArgumentException("unknown route Type: " + type);
        };
    }

    private static ServiceSpec service(JsonNode s, List<String> unreadable) {
        JsonNode engine = s.path("Engine");
        return new ServiceSpec(
                ServiceName.of(KvValueCodec.text(s, "Name")),
                s.path("HealthCheck").asText("/"),
                s.path("MaxConnections").asInt(Integer.MAX_VALUE),
                s.path("ColdPerS").asDouble(),
                engine.isObject() ? Optional.of(engine(engine)) : Optional.empty(),
                scaling(s, unreadable));
    }

    /** Decodes the bounds of autoscaling; with invalid bounds the service is served by the engines that it has. */
    private static Optional<ScalingSpec> scaling(JsonNode service, List<String> unreadable) {
        JsonNode s = service.path("Scaling");
        if (s.isMissingNode() || s.isNull()) {
            return Optional.empty();
        }
        try {
            JsonNode bootTime = s.path("BootTimeS");
            double bootTimeS = bootTime.isMissingNode() ? DEFAULT_BOOT_TIME_S : number(bootTime, "BootTimeS");
            if (!(bootTimeS <= MAX_BOOT_TIME_S)) {
                throw new IllegalArgumentException("BootTimeS " + bootTimeS + " is above " + MAX_BOOT_TIME_S);
            }
            int min = engineCount(s, "Min");
            int max = engineCount(s, "Max");
            return Optional.of(new ScalingSpec(min, max, Math.round(bootTimeS * MS_PER_SECOND)));
        } catch (IllegalArgumentException e) {
            unreadable.add("scaling of service " + service.path("Name").asText() + ": " + e.getMessage());
            return Optional.empty();
        }
    }

    private static int engineCount(JsonNode scaling, String field) {
        double count = number(scaling.path(field), field);
        if (count != (int) count) {
            throw new IllegalArgumentException(field + " is not a number of engines: " + count);
        }
        return (int) count;
    }

    private static double number(JsonNode value, String field) {
        if (!value.isNumber()) {
            throw new IllegalArgumentException(field + " is not a number: " + value);
        }
        return value.doubleValue();
    }

    private static EngineCostModel engine(JsonNode e) {
        return new EngineCostModel(
                e.path("Slots").asInt(1),
                e.path("KvCapacityTokens").asLong(Long.MAX_VALUE),
                Math.max(1, e.path("Stride").asInt(1)),
                e.path("step_ms").asDouble(),
                e.path("per_seq_ms").asDouble(),
                e.path("context_per_k").asDouble(),
                // "read_per_s" is in prompt tokens per second; the model uses tokens per millisecond.
                Math.max(0.001, e.path("read_per_s").asDouble(1_000_000) / 1_000),
                e.path("pairs_per_m").asDouble(),
                e.path("chunk").asLong(2_048),
                network(e));
    }

    /** Each delay applies in both directions; an entry that cannot be read counts as unknown. */
    private static DomainNetwork network(JsonNode engine) {
        Map<FailureDomain, Map<FailureDomain, Double>> delays = new HashMap<>();
        for (JsonNode d : engine.path("delays")) {
            if (!d.path("Source").isTextual() || !d.path("TargetVersion").isTextual()) {
                continue;
            }
            FailureDomain one = FailureDomain.of(d.path("Source").asText());
            FailureDomain other = FailureDomain.of(d.path("TargetVersion").asText());
            double delayMs = Math.max(0, d.path("delay_ms").asDouble());
            delays.computeIfAbsent(one, _ -> new HashMap<>()).put(other, delayMs);
            delays.computeIfAbsent(other, _ -> new HashMap<>()).put(one, delayMs);
        }
        double costPerMb = engine.path("transfer_cost_per_mb").asDouble(DomainNetwork.DEFAULT_COST_PER_MB);
        return new DomainNetwork(delays, Math.max(0, costPerMb) / 1e6);
    }

    /** The field "Tenants" alone makes keys necessary, also if it holds no customer or no key. */
    private static ApiKeys apiKeys(JsonNode config, List<String> unreadable) {
        if (!config.hasNonNull("Tenants")) {
            return ApiKeys.notRequired();
        }
        Map<String, Customer> byKey = new HashMap<>();
        for (JsonNode t : config.path("Tenants")) {
            OptionalInt priority =
                    t.has("Priority") ? OptionalInt.of(t.path("Priority").asInt()) : OptionalInt.empty();
            try {
                Customer customer = new Customer(CustomerId.of(KvValueCodec.text(t, "Name")), priority);
                t.path("ApiKeys").forEach(k -> byKey.put(k.asText(), customer));
            } catch (IllegalArgumentException e) {
                unreadable.add("customer " + t.path("Name").asText() + ": " + e.getMessage());
            }
        }
        // A call without a key must not match an entry without text.
        byKey.remove("");
        return ApiKeys.required(byKey);
    }

    private static CallerLimits limits(JsonNode config) {
        JsonNode l = config.path("Limits");
        CallerLimits defaults = CallerLimits.defaults();
        return new CallerLimits(
                l.path("MaxHeaderBytes").asInt(defaults.maxHeaderBytes()),
                l.path("MaxBodyBytes").asInt(defaults.maxBodyBytes()),
                l.path("HeaderTimeoutMs").asLong(defaults.headerTimeoutMs()),
                l.path("IdleTimeoutMs").asLong(defaults.idleTimeoutMs()));
    }
}
