package org.jujuberouter.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.ServiceName;

/**
 * Validates a change against the schema, and the resulting document against the constraints between settings.
 *
 * <p>Constraints are checked for the whole resulting document, because unsetting one value can violate a constraint of
 * another path.
 */
final class SettingsValidator {
    private final SettingsDocument updated;
    private final Settings settings;
    private final List<SettingsError> errors = new ArrayList<>();

    private SettingsValidator(SettingsDocument updated) {
        this.updated = updated;
        this.settings = Settings.of(updated);
    }

    /** Validates a change of the current document; returns all errors. */
    static List<SettingsError> check(SettingsDocument current, SettingsChange change) {
        SettingsValidator validator = new SettingsValidator(current.withChange(change));
        if (change.edits().isEmpty()) {
            validator.errors.add(new SettingsError("(change)", "", "the change has no edits"));
        }
        change.edits().entrySet().stream().sorted(Map.Entry.comparingByKey()).forEach(e -> {
            if (!e.getValue().isNull()) {
                SettingsSchema.standard().check(e.getKey(), e.getValue()).ifPresent(validator.errors::add);
            } else if (!current.values().containsKey(e.getKey())) {
                validator.errors.add(new SettingsError(e.getKey(), "", "there is no value to unset"));
            }
        });
        validator.checkConstraints();
        int bytes = validator.updated.encode().length;
        if (bytes > SettingsDocument.MAX_BYTES) {
            validator.errors.add(new SettingsError(
                    "(document)", bytes + " bytes", "at most " + SettingsDocument.MAX_BYTES + " bytes"));
        }
        return List.copyOf(validator.errors);
    }

    private void checkConstraints() {
        Map<String, String> pathsByKeyHash = new HashMap<>();
        for (Map.Entry<String, JsonNode> e : updated.values().entrySet()) {
            int separator = e.getKey().lastIndexOf('/');
            if (SettingsSchema.standard().at(e.getKey()).isEmpty()) {
                continue;
            }
            SettingTarget target =
                    SettingTarget.parse(e.getKey().substring(0, separator)).orElseThrow();
            String name = e.getKey().substring(separator + 1);
            checkExistence(e.getKey(), name, target);
            checkDeadlines(e.getKey(), name, target);
            if (name.equals(SettingsSchema.KEY_HASH)) {
                String other = pathsByKeyHash.put(e.getValue().asText(), e.getKey());
                if (other != null) {
                    errors.add(new SettingsError(e.getKey(), "", "the same API key is used at " + other));
                }
            }
        }
    }

    private void checkExistence(String path, String name, SettingTarget target) {
        switch (target) {
            case SettingTarget.Service s -> {
                requireService(path, s.service());
                if (name.equals(SettingsSchema.CALL_RULES) && settings.isInference(s.service())) {
                    errors.add(new SettingsError(path, "", "only a plain service has rules for calls"));
                }
            }
            case SettingTarget.ServiceCustomer sc -> {
                requireService(path, sc.service());
                requireCustomer(path, sc.customer());
            }
            case SettingTarget.Model m -> {
                requireService(path, m.service());
                require(path, m.path(SettingsSchema.VERSIONS), "model \"" + m.model() + "\" does not exist");
                if (isSet(new SettingTarget.Service(m.service()).path(SettingsSchema.KIND))
                        && !settings.isInference(m.service())) {
                    errors.add(new SettingsError(path, "", "only an inference service has models"));
                }
            }
            case SettingTarget.Customer c -> requireCustomer(path, c.customer());
            case SettingTarget.Domain d ->
                require(path, d.path(SettingsSchema.REGION), "failure domain \"" + d.domain() + "\" does not exist");
            case SettingTarget.Global _, SettingTarget.Endpoint _ -> {
                // No configuration is required: endpoints are defined by the platform's member list.
            }
        }
    }

    private void checkDeadlines(String path, String name, SettingTarget target) {
        if (!name.equals(SettingsSchema.DEADLINE_DEFAULT) && !name.equals(SettingsSchema.DEADLINE_MAX)) {
            return;
        }
        Optional<EffectiveValue> defaultDeadline = settings.effective(target, SettingsSchema.DEADLINE_DEFAULT);
        Optional<EffectiveValue> maxDeadline = settings.effective(target, SettingsSchema.DEADLINE_MAX);
        if (defaultDeadline.orElseThrow().value().asLong()
                > maxDeadline.orElseThrow().value().asLong()) {
            errors.add(new SettingsError(
                    path,
                    updated.values().get(path).toString(),
                    SettingsSchema.DEADLINE_DEFAULT + " ("
                            + defaultDeadline.get().value() + " from "
                            + defaultDeadline.get().source() + ") at most " + SettingsSchema.DEADLINE_MAX + " ("
                            + maxDeadline.get().value() + " from "
                            + maxDeadline.get().source() + ")"));
        }
    }

    private void requireService(String path, ServiceName service) {
        require(
                path,
                new SettingTarget.Service(service).path(SettingsSchema.KIND),
                "service \"" + service + "\" does not exist");
    }

    private void requireCustomer(String path, CustomerId customer) {
        require(
                path,
                new SettingTarget.Customer(customer).path(SettingsSchema.KEY_HASH),
                "customer \"" + customer + "\" does not exist");
    }

    private void require(String path, String requiredPath, String message) {
        if (!isSet(requiredPath)) {
            errors.add(new SettingsError(path, "", message + "; it exists while " + requiredPath + " is set"));
        }
    }

    private boolean isSet(String path) {
        return updated.values().containsKey(path);
    }
}
