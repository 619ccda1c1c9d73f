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

/** All settings that exist, each with its type, unit, allowed values, default and meaning. */
public final class SettingsSchema {
    /** The kind of a service; a service exists while this is set. */
    public static final String KIND = "kind";

    /** The SHA-256 of a customer's API key; a customer exists while this is set. */
    public static final String KEY_HASH = "key-hash";

    /** The region of a failure domain; a domain exists while this is set. */
    public static final String REGION = "region";

    /** The versions of a model; a model is offered while this is set. */
    public static final String VERSIONS = "versions";

    /** Whether operators took a domain or an endpoint out of service. */
    public static final String DRAINED = "drained";

    /** The rules that tell which calls of a plain service are idempotent. */
    public static final String CALL_RULES = "calls.rules";

    /** The deadline of a request that states none. */
    public static final String DEADLINE_DEFAULT = "deadline.default-ms";

    /** The longest deadline that a request may state. */
    public static final String DEADLINE_MAX = "deadline.max-ms";

    private static final String GLOBAL = "global";
    private static final String SERVICE = "service/{service}";
    private static final String CUSTOMER = "customer/{customer}";
    private static final String SERVICE_CUSTOMER = "service/{service}/customer/{customer}";
    private static final String MODEL = "service/{service}/model/{model}";
    private static final String[] EVERY_CALLER = {GLOBAL, SERVICE, SERVICE_CUSTOMER, CUSTOMER};
    private static final String[] BY_SERVICE = {GLOBAL, SERVICE, SERVICE_CUSTOMER};
    private static final String NAME_WORDS = "letters, digits and . _ : @ -, at most 100 characters each";
    private static final SettingsSchema STANDARD =
            new SettingsSchema(concat(concat(identities(), limits()), concat(tuning(), orders())));

    private final Map<String, Setting> byName;

    private SettingsSchema(List<Setting> settings) {
        Map<String, Setting> all = new LinkedHashMap<>();
        settings.forEach(s -> all.put(s.name(), s));
        this.byName = Collections.unmodifiableMap(all);
    }

    /** Returns the schema of this version. */
    public static SettingsSchema standard() {
        return STANDARD;
    }

    /** Returns all settings. */
    public List<Setting> settings() {
        return List.copyOf(byName.values());
    }

    /** Returns the setting with the given name. */
    public Optional<Setting> find(String name) {
        return Optional.ofNullable(byName.get(name));
    }

    /** Returns the setting at a path; empty when the schema has none there. */
    public Optional<Setting> at(String path) {
        int cut = path.lastIndexOf('/');
        if (cut < 0) {
            return Optional.empty();
        }
        Optional<String> pattern = SettingTarget.parse(path.substring(0, cut)).map(SettingTarget::pattern);
        return find(path.substring(cut + 1))
                .filter(s -> pattern.isPresent() && s.patterns().contains(pattern.get()));
    }

    /** Returns what is wrong with a single value, without regard to other values. */
    public Optional<SettingsError> check(String path, JsonNode value) {
        Optional<Setting> setting = at(path);
        if (setting.isEmpty()) {
            return Optional.of(new SettingsError(path, "", describeAllowed(path)));
        }
        return setting.get().allows(value)
                ? Optional.empty()
                : Optional.of(
                        new SettingsError(path, value.toString(), setting.get().allowed()));
    }

    private String describeAllowed(String path) {
        int cut = path.lastIndexOf('/');
        Optional<Setting> named = find(path.substring(cut + 1));
        if (named.isPresent()) {
            return "the setting \"" + named.get().name() + "\" can be set at "
                    + String.join(", ", named.get().patterns()) + "; names have " + NAME_WORDS;
        }
        Optional<SettingTarget> target = cut < 0 ? Optional.empty() : SettingTarget.parse(path.substring(0, cut));
        if (target.isEmpty()) {
            return "no such path; allowed: " + String.join(", ", EVERY_CALLER) + ", " + MODEL
                    + ", domain/{domain}, endpoint/{endpoint}, each with / and the name of a setting";
        }
        String pattern = target.get().pattern();
        List<String> names = byName.values().stream()
                .filter(s -> s.patterns().contains(pattern))
                .map(Setting::name)
                .toList();
        return "no such setting; at " + pattern + " exist " + String.join(", ", names);
    }

    private static List<Setting> identities() {
        return List.of(
                Setting.of(
                                KIND,
                                TEXT,
                                "",
                                "What the service's endpoints run. The service exists while this is set.",
                                SERVICE)
                        .matching("inference|plain", "inference or plain"),
                Setting.of(
                                CALL_RULES,
                                TEXT_LIST,
                                "",
                                "Which calls of a plain service are idempotent; the first match decides. Without a match"
                                        + " GET and HEAD are idempotent, other methods are not.",
                                SERVICE)
                        .matching(IdempotencyRules.FORM, "texts of the form \"METHOD /path idempotent|non-idempotent\"")
                        .defaultsTo(""),
                Setting.of(VERSIONS, TEXT_LIST, "", "Versions of the model that are offered, newest first.", MODEL)
                        .matching("[A-Za-z0-9._:@-]{1,100}", "list of names"),
                Setting.of("adapters", TEXT_LIST, "", "Adapters of the model that are offered.", MODEL)
                        .matching("[A-Za-z0-9._:@-]{1,100}", "list of names")
                        .defaultsTo(""),
                Setting.of("context-tokens", INTEGER, "tokens", "Longest prompt and answer of the model.", MODEL)
                        .range(1, 10_000_000)
                        .defaultsTo("1000000"),
                Setting.of(
                                "engines",
                                NUMBER,
                                "",
                                "Weight of the model when the service's engines are divided among its models. No engine of"
                                        + " the service gets orders unless all its models have one.",
                                MODEL)
                        .range(0, 10_000),
                Setting.of("prefill-share", NUMBER, "", "Share of the model's engines that only prefill.", MODEL)
                        .range(0, 1)
                        .defaultsTo("0"),
                Setting.of(
                                KEY_HASH,
                                TEXT,
                                "",
                                "SHA-256 of the API key. The customer exists while this is set.",
                                CUSTOMER)
                        .matching("[0-9a-f]{64}", "64 hexadecimal digits in lower case"),
                Setting.of(
                                REGION,
                                TEXT,
                                "",
                                "Region of the failure domain. The domain exists while this is set.",
                                "domain/{domain}")
                        .matching("[A-Za-z0-9._:@-]{1,100}", "a name"),
                Setting.of(
                                DRAINED,
                                BOOLEAN,
                                "",
                                "Whether no new work may go there.",
                                "domain/{domain}",
                                "endpoint/{endpoint}")
                        .defaultsTo("false"));
    }

    private static List<Setting> limits() {
        return List.of(
                Setting.of("weight", NUMBER, "", "Share of the customer when capacity is short.", EVERY_CALLER)
                        .range(0.01, 1000)
                        .defaultsTo("1"),
                Setting.of("limits.requests-per-second", NUMBER, "requests/s", "Requests admitted.", EVERY_CALLER)
                        .range(0, 1_000_000)
                        .defaultsTo("100"),
                Setting.of("limits.tokens-per-second", NUMBER, "tokens/s", "Prompt and answer tokens.", EVERY_CALLER)
                        .range(0, 1e9)
                        .defaultsTo("1000000"),
                Setting.of("limits.long-prompts", INTEGER, "requests", "Long prompts at the same time.", EVERY_CALLER)
                        .range(0, 100_000)
                        .defaultsTo("8"),
                Setting.of("limits.bytes-held", INTEGER, "bytes", "Bytes held for slow readers.", EVERY_CALLER)
                        .range(65_536, 1L << 30)
                        .defaultsTo(Long.toString(16L << 20)),
                Setting.of(DEADLINE_DEFAULT, INTEGER, "ms", "Deadline of a request that states none.", EVERY_CALLER)
                        .range(1, 3_600_000)
                        .defaultsTo("120000"),
                Setting.of(DEADLINE_MAX, INTEGER, "ms", "Longest deadline that a request may state.", EVERY_CALLER)
                        .range(1, 3_600_000)
                        .defaultsTo("600000"));
    }

    private static List<Setting> tuning() {
        return List.of(
                Setting.of("slo.first-token-ms", INTEGER, "ms", "Time to first token, 95th percentile.", BY_SERVICE)
                        .range(1, 3_600_000)
                        .defaultsTo("1200"),
                Setting.of("slo.between-tokens-ms", INTEGER, "ms", "Time between tokens, 95th percentile.", BY_SERVICE)
                        .range(1, 60_000)
                        .defaultsTo("43"),
                Setting.of("slo.availability", NUMBER, "", "Share of admitted requests that complete.", BY_SERVICE)
                        .range(0.5, 0.99999)
                        .defaultsTo("0.999"),
                Setting.of(
                                "routing.prefix-weight",
                                NUMBER,
                                "",
                                "Weight of a cached prefix against load.",
                                GLOBAL,
                                SERVICE)
                        .range(0, 100)
                        .defaultsTo("1"),
                Setting.of(
                                "routing.domain-penalty-ms",
                                NUMBER,
                                "ms",
                                "Cost of leaving the instance's own failure domain.",
                                GLOBAL,
                                SERVICE)
                        .range(0, 10_000)
                        .defaultsTo("1"),
                Setting.of(
                                "routing.long-share",
                                NUMBER,
                                "",
                                "Share of endpoints that take long prompts.",
                                GLOBAL,
                                SERVICE)
                        .range(0.01, 1)
                        .defaultsTo("0.34"),
                Setting.of(
                                "routing.short-tokens",
                                INTEGER,
                                "tokens",
                                "Longest prompt of the short lane.",
                                GLOBAL,
                                SERVICE)
                        .range(1, 10_000_000)
                        .defaultsTo("8192"),
                Setting.of(
                                "routing.medium-tokens",
                                INTEGER,
                                "tokens",
                                "Longest prompt of the medium lane.",
                                GLOBAL,
                                SERVICE)
                        .range(1, 10_000_000)
                        .defaultsTo("65536"),
                Setting.of("retry.budget", NUMBER, "", "Retries as a share of requests.", GLOBAL, SERVICE)
                        .range(0, 1)
                        .defaultsTo("0.1"));
    }

    private static List<Setting> orders() {
        return List.of(
                Setting.of(
                                "orders.loads-at-once",
                                INTEGER,
                                "loads",
                                "Loads of weights under way at the same time.",
                                GLOBAL)
                        .range(0, 1000)
                        .defaultsTo("2"),
                Setting.of(
                                "orders.loads-per-minute",
                                INTEGER,
                                "loads",
                                "Loads of weights started within a minute.",
                                GLOBAL)
                        .range(0, 1000)
                        .defaultsTo("6"),
                Setting.of(
                                "orders.out-share",
                                NUMBER,
                                "",
                                "Share of a model's engines that loads may take out of service at once; one is always"
                                        + " allowed.",
                                GLOBAL)
                        .range(0.01, 1)
                        .defaultsTo("0.25"));
    }

    private static List<Setting> concat(List<Setting> a, List<Setting> b) {
        return java.util.stream.Stream.concat(a.stream(), b.stream()).toList();
    }
}
