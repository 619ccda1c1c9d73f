package org.jujuberouter.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ModelName;
import org.jujuberouter.id.ServiceName;

/**
 * Immutable view of one version of the settings document that applies inheritance and defaults.
 *
 * <p>A stored value that the schema does not allow is treated as unset, so that an instance running an older release
 * keeps serving while operators already use settings of a newer release.
 */
public final class Settings {
    private final SettingsDocument document;
    private final SettingsSchema schema;
    private final List<ServiceName> services = new ArrayList<>();
    private final List<CustomerId> customers = new ArrayList<>();
    private final List<FailureDomain> domains = new ArrayList<>();
    private final Map<ServiceName, List<ModelName>> modelsByService = new HashMap<>();
    private final Map<String, CustomerId> customersByKeyHash = new HashMap<>();
    private final Map<ServiceName, IdempotencyRules> rulesByService = new HashMap<>();

    private Settings(SettingsDocument document, SettingsSchema schema) {
        this.document = document;
        this.schema = schema;
        document.values().forEach(this::index);
    }

    /** Returns a view of a document. */
    public static Settings of(SettingsDocument document) {
        return new Settings(document, SettingsSchema.standard());
    }

    /** Returns the version of the document. */
    public long version() {
        return document.version();
    }

    /** Returns the effective value of a setting for a target; empty if it is not set and has no default. */
    public Optional<EffectiveValue> effective(SettingTarget target, String name) {
        Setting setting = schema.find(name)
                .orElseThrow(() -> new IllegalArgumentException("setting \"" + name + "\" does not exist"));
        Optional<SettingTarget> at = Optional.of(target);
        while (at.isPresent()) {
            String path = at.get().path(name);
            JsonNode value = document.values().get(path);
            if (value != null && setting.allows(value)) {
                return Optional.of(new EffectiveValue(value, path));
            }
            at = at.get().parent();
        }
        return Optional.ofNullable(setting.defaultValue())
                .map(f -> new EffectiveValue(f, EffectiveValue.DEFAULT_SOURCE));
    }

    /** Returns the value of a numeric setting that has a default. */
    public double number(SettingTarget target, String name) {
        return requiredValue(target, name).doubleValue();
    }

    /** Returns the value of a whole-number setting that has a default. */
    public long integer(SettingTarget target, String name) {
        return requiredValue(target, name).longValue();
    }

    /** Returns the value of a list setting; empty if it is neither set nor has a default. */
    public List<String> texts(SettingTarget target, String name) {
        List<String> all = new ArrayList<>();
        effective(target, name).ifPresent(e -> e.value().forEach(v -> all.add(v.textValue())));
        return all;
    }

    /** Returns the services, in the order of their paths. */
    public List<ServiceName> services() {
        return List.copyOf(services);
    }

    /** Returns whether the service is an inference service; false for plain and unknown services. */
    public boolean isInference(ServiceName service) {
        return effective(new SettingTarget.Service(service), SettingsSchema.KIND)
                .filter(e -> e.value().asText().equals("inference"))
                .isPresent();
    }

    /** Returns the models that a service offers. */
    public List<ModelName> models(ServiceName service) {
        return List.copyOf(modelsByService.getOrDefault(service, List.of()));
    }

    /** Returns the rules that determine which calls of a plain service are idempotent. */
    public IdempotencyRules idempotencyRules(ServiceName service) {
        return rulesByService.getOrDefault(service, IdempotencyRules.of(List.of()));
    }

    /** Returns the customers, in the order of their paths. */
    public List<CustomerId> customers() {
        return List.copyOf(customers);
    }

    /** Returns the customer whose API key has the given SHA-256 hash in lowercase hexadecimal digits. */
    public Optional<CustomerId> customerByKeyHash(String keyHash) {
        return Optional.ofNullable(customersByKeyHash.get(keyHash));
    }

    /** Returns the failure domains, in the order of their paths. */
    public List<FailureDomain> domains() {
        return List.copyOf(domains);
    }

    /** Returns whether operators have drained a failure domain. */
    public boolean isDrained(FailureDomain domain) {
        return requiredValue(new SettingTarget.Domain(domain), SettingsSchema.DRAINED)
                .booleanValue();
    }

    /** Returns whether operators have drained an endpoint. */
    public boolean isDrained(EndpointId endpoint) {
        return requiredValue(new SettingTarget.Endpoint(endpoint), SettingsSchema.DRAINED)
                .booleanValue();
    }

    private JsonNode requiredValue(SettingTarget target, String name) {
        return effective(target, name)
                .orElseThrow(() -> new IllegalArgumentException("setting \"" + name + "\" has no default"))
                .value();
    }

    private void index(String path, JsonNode value) {
        int separator = path.lastIndexOf('/');
        if (schema.check(path, value).isPresent()) {
            return;
        }
        String name = path.substring(separator + 1);
        switch (SettingTarget.parse(path.substring(0, separator)).orElseThrow()) {
            case SettingTarget.Service s when name.equals(SettingsSchema.KIND) -> services.add(s.service());
            case SettingTarget.Service s
            when name.equals(SettingsSchema.CALL_RULES) ->
                rulesByService.put(s.service(), IdempotencyRules.of(texts(s, name)));
            case SettingTarget.Customer c
            when name.equals(SettingsSchema.KEY_HASH) -> {
                customers.add(c.customer());
                customersByKeyHash.put(value.asText(), c.customer());
            }
            case SettingTarget.Domain d when name.equals(SettingsSchema.REGION) -> domains.add(d.domain());
            case SettingTarget.Model m
            when name.equals(SettingsSchema.VERSIONS) ->
                modelsByService
                        .computeIfAbsent(m.service(), s -> new ArrayList<>())
                        .add(m.model());
            default -> {
                // Other values are looked up by path on demand.
            }
        }
    }
}
