package org.jujuberouter.settings;

import static org.jujuberouter.settings.ValueType.BOOLEAN;
import static org.jujuberouter.settings.ValueType.INTEGER;
import static org.jujuberouter.settings.ValueType.NUMBER;
import static org.jujuberouter.settings.ValueType.TEXT;
import static org.jujuberouter.settings.ValueType.TEXT_LIST;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Schema of all settings: type, unit, allowed values, default and description of each. */
public final class SettingsSchema {
    /** Kind of a service. A service is defined while this is set. */
    public static final String KIND = "kind";

    /** SHA-256 hash of a customer's API key. A customer is defined while this is set. */
    public static final String KEY_HASH = "key-hash";

    /** Region of a failure domain. A domain is defined while this is set. */
    public static final String REGION = "region";

    /** Versions of a model. A model is offered while this is set. */
    public static final String VERSIONS = "versions";

    /** Whether operators have drained a failure domain or an endpoint. */
    public static final String DRAINED = "drained";

    /** Rules that determine which calls of a plain service are idempotent. */
    public static final String CALL_RULES = "calls.rules";

    /** Deadline of a request that does not specify one. */
    public static final String DEADLINE_DEFAULT = "deadline.default-ms";

    /** Maximum deadline that a request can specify. */
    public static final String DEADLINE_MAX = "deadline.max-ms";

    private static final String GLOBAL = "global";
    private static final String SERVICE = "service/{service}";
    private static final String CUSTOMER = "customer/{customer}";
    private static final String SERVICE_CUSTOMER = "service/{service}/customer/{customer}";
    private static final String MODEL = "service/{service}/model/{model}";
    private static final String[] CUSTOMER_SCOPES = {GLOBAL, SERVICE, SERVICE_CUSTOMER, CUSTOMER};
    private static final String[] SLO_SCOPES = {GLOBAL, SERVICE, SERVICE_CUSTOMER};
    private static final String NAME_SYNTAX = "letters, digits and . _ : @ -, at most 100 characters each";
    private static final SettingsSchema STANDARD = new SettingsSchema(
            concat(concat(catalogSettings(), limitSettings()), concat(servingSettings(), orderSettings())));

    private final Map<String, Setting> byName;

    private SettingsSchema(List<Setting> settings) {
        Map<String, Setting> all = new LinkedHashMap<>();
        settings.forEach(s -> all.put(s.name(), s));
        this.byName = Collections.unmodifiableMap(all);
    }

    /** Returns the schema of this release. */
    public static SettingsSchema standard() {
        return STANDARD;
    }

    public List<Setting> settings() {
        return List.copyOf(byName.values());
    }

    /** Returns the setting with the given name. */
    public Optional<Setting> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns the setting at a path; empty if the path is not valid. */
    public Optional<Setting> at(String path) {
        int separator = path.lastIndexOf('/');
        if (separator < 0) {
            return Optional.empty();
        }
        Optional<String> pattern =
                SettingTarget.parse(path.substring(0, separator)).map(SettingTarget::pattern);
        return find(path.substring(separator + 1))
                .filter(s -> pattern.isPresent() && s.patterns().contains(pattern.get()));
    }

    /** Validates a single value, independent of other values; empty if it is valid. */
    public Optional<SettingsError> check(String path, JsonNode value) {
        Optional<Setting> setting = at(path);
        if (setting.isEmpty()) {
            return Optional.of(new SettingsError(path, "", describeAllowedPaths(path)));
        }
        return setting.get().allows(value)
                ? Optional.empty()
                : Optional.of(
                        new SettingsError(path, value.toString(), setting.get().allowed()));
    }

    private String describeAllowedPaths(String path) {
        int separator = path.lastIndexOf('/');
        Optional<Setting> named = find(path.substring(separator + 1));
        if (named.isPresent()) {
            return "the setting \"" + named.get().name() + "\" can be set at "
                    + String.join(", ", named.get().patterns()) + "; names have " + NAME_SYNTAX;
        }
        Optional<SettingTarget> target =
                separator < 0 ? Optional.empty() : SettingTarget.parse(path.substring(0, separator));
        if (target.isEmpty()) {
            return "no such path; allowed: " + String.join(", ", CUSTOMER_SCOPES) + ", " + MODEL
                    + ", domain/{domain}, endpoint/{endpoint}, each with / and the name of a setting";
        }
        String pattern = target.get().pattern();
        List<String> names = byName.values().stream()
                .filter(s -> s.patterns().contains(pattern))
                .map(Setting::name)
                .toList();
        return "no such setting; at " + pattern + " exist " + String.join(", ", names);
    }

    private static List<Setting> catalogSettings() {
        return List.of(
                Setting.of(KIND, TEXT, "", "Kind of its endpoints. The service is defined while this is set.", SERVICE)
                        .matching("inference|plain", "inference or plain"),
                Setting.of(
                                CALL_RULES,
                                TEXT_LIST,
                                "",
                                "Which calls of a plain service are idempotent; the first matching rule applies."
                                        + " Without a match GET and HEAD are idempotent, other methods are not.",
                                SERVICE)
                        .matching(
                                IdempotencyRules.PATTERN,
                                "texts of the form \"METHOD /path idempotent|non-idempotent\"")
                        .defaultsTo(""),
                Setting.of(VERSIONS, TEXT_LIST, "", "Versions of the model that are offered, newest first.", MODEL)
                        .matching("[A-Za-z0-9._:@-]{1,100}", "list of names"),
                Setting.of("adapters", TEXT_LIST, "", "Adapters of the model that are offered.", MODEL)
                        .matching("[A-Za-z0-9._:@-]{1,100}", "list of names")
                        .defaultsTo(""),
                Setting.of("context-tokens", INTEGER, "tokens", "Maximum tokens of prompt and completion.", MODEL)
                        .range(1, 10_000_000)
                        .defaultsTo("1000000"),
                Setting.of(
                                "engines",
                                NUMBER,
                                "",
                                "Relative weight of the model when the service's engines are allocated to its models."
                                        + " No engine of the service gets orders unless all its models have a weight.",
                                MODEL)
                        .range(0, 10_000),
                Setting.of("prefill-share", NUMBER, "", "Fraction of the model's engines for prefill.", MODEL)
                        .range(0, 1)
                        .defaultsTo("0"),
                Setting.of(
                                KEY_HASH,
                                TEXT,
                                "",
                                "SHA-256 hash of the API key. The customer is defined while this is set.",
                                CUSTOMER)
                        .matching("[0-9a-f]{64}", "64 hexadecimal digits in lower case"),
                Setting.of(
                                REGION,
                                TEXT,
                                "",
                                "Region of the failure domain. The domain is defined while this is set.",
                                "domain/{domain}")
                        .matching("[A-Za-z0-9._:@-]{1,100}", "a name"),
                Setting.of(
                                DRAINED,
                                BOOLEAN,
                                "",
                                "Whether the target is drained, so that it receives no new requests.",
                                "domain/{domain}",
                                "endpoint/{endpoint}")
                        .defaultsTo("false"));
    }

    private static List<Setting> limitSettings() {
        return List.of(
                Setting.of(
                                "weight",
                                NUMBER,
                                "",
                                "Relative share of the customer when capacity is short.",
                                CUSTOMER_SCOPES)
                        .range(0.01, 1000)
                        .defaultsTo("1"),
                Setting.of(
                                "limits.requests-per-second",
                                NUMBER,
                                "requests/s",
                                "Maximum rate of admitted requests.",
                                CUSTOMER_SCOPES)
                        .range(0, 1_000_000)
                        .defaultsTo("100"),
                Setting.of(
                                "limits.tokens-per-second",
                                NUMBER,
                                "tokens/s",
                                "Maximum rate of prompt and completion tokens.",
                                CUSTOMER_SCOPES)
                        .range(0, 1e9)
                        .defaultsTo("1000000"),
                Setting.of(
                                "limits.long-prompts",
                                INTEGER,
                                "requests",
                                "Maximum number of concurrent long prompts.",
                                CUSTOMER_SCOPES)
                        .range(0, 100_000)
                        .defaultsTo("8"),
                Setting.of(
                                "limits.bytes-held",
                                INTEGER,
                                "bytes",
                                "Maximum bytes buffered for slow readers.",
                                CUSTOMER_SCOPES)
                        .range(65_536, 1L << 30)
                        .defaultsTo(Long.toString(16L << 20)),
                Setting.of(DEADLINE_DEFAULT, INTEGER, "ms", "Default deadline of a request.", CUSTOMER_SCOPES)
                        .range(1, 3_600_000)
                        .defaultsTo("120000"),
                Setting.of(DEADLINE_MAX, INTEGER, "ms", "Maximum deadline of a request.", CUSTOMER_SCOPES)
                        .range(1, 3_600_000)
                        .defaultsTo("600000"));
    }

    private static List<Setting> servingSettings() {
        return List.of(
                Setting.of("slo.first-token-ms", INTEGER, "ms", "Time to first token, 95th percentile.", SLO_SCOPES)
                        .range(1, 3_600_000)
                        .defaultsTo("1200"),
                Setting.of("slo.between-tokens-ms", INTEGER, "ms", "Time between tokens, 95th percentile.", SLO_SCOPES)
                        .range(1, 60_000)
                        .defaultsTo("43"),
                Setting.of("slo.availability", NUMBER, "", "Fraction of admitted requests that complete.", SLO_SCOPES)
                        .range(0.5, 0.99999)
                        .defaultsTo("0.999"),
                Setting.of(
                                "routing.prefix-weight",
                                NUMBER,
                                "",
                                "Weight of a cached prefix relative to load.",
                                GLOBAL,
                                SERVICE)
                        .range(0, 100)
                        .defaultsTo("1"),
                Setting.of(
                                "routing.domain-penalty-ms",
                                NUMBER,
                                "ms",
                                "Cost of routing to another failure domain than the instance's own.",
                                GLOBAL,
                                SERVICE)
                        .range(0, 10_000)
                        .defaultsTo("1"),
                Setting.of(
                                "routing.long-share",
                                NUMBER,
                                "",
                                "Fraction of endpoints that accept long prompts.",
                                GLOBAL,
                                SERVICE)
                        .range(0.01, 1)
                        .defaultsTo("0.34"),
                Setting.of(
                                "routing.short-tokens",
                                INTEGER,
                                "tokens",
                                "Maximum prompt length of the short prompt class.",
                                GLOBAL,
                                SERVICE)
                        .range(1, 10_000_000)
                        .defaultsTo("8192"),
                Setting.of(
                                "routing.medium-tokens",
                                INTEGER,
                                "tokens",
                                "Maximum prompt length of the medium prompt class.",
                                GLOBAL,
                                SERVICE)
                        .range(1, 10_000_000)
                        .defaultsTo("65536"),
                Setting.of("retry.budget", NUMBER, "", "Maximum ratio of retries to requests.", GLOBAL, SERVICE)
                        .range(0, 1)
                        .defaultsTo("0.1"));
    }

    private static List<Setting> orderSettings() {
        return List.of(
                Setting.of(
                                "orders.loads-at-once",
                                INTEGER,
                                "loads",
                                "Maximum number of concurrent loads of model weights.",
                                GLOBAL)
                        .range(0, 1000)
                        .defaultsTo("2"),
                Setting.of(
                                "orders.loads-per-minute",
                                INTEGER,
                                "loads",
                                "Maximum number of loads of model weights started per minute.",
                                GLOBAL)
                        .range(0, 1000)
                        .defaultsTo("6"),
                Setting.of(
                                "orders.out-share",
                                NUMBER,
                                "",
                                "Maximum fraction of a model's engines that loads take out of service at once; one is"
                                        + " always allowed.",
                                GLOBAL)
                        .range(0.01, 1)
                        .defaultsTo("0.25"));
    }

    private static List<Setting> concat(List<Setting> a, List<Setting> b) {
        return java.util.stream.Stream.concat(a.stream(), b.stream()).toList();
    }
}
