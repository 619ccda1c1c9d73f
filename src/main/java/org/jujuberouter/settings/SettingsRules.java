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
 * Checks a change against the schema and the resulting document against the rules between settings.
 *
 * <p>The rules between settings concern the whole result, because unsetting a value can break them at another path.
 */
final class SettingsRules {
    private final SettingsDocument next;
    private final Settings view;
    private final List<SettingsError> errors = new ArrayList<>();

    private SettingsRules(SettingsDocument next) {
        this.next = next;
        this.view = Settings.of(next);
    }

    /** Returns all reasons to refuse a change. */
    static List<SettingsError> check(SettingsDocument current, SettingsChange change) {
        SettingsRules rules = new SettingsRules(current.with(change));
        if (change.edits().isEmpty()) {
            rules.errors.add(new SettingsError("(change)", "", "the change has no edits"));
        }
        change.edits().entrySet().stream().sorted(Map.Entry.comparingByKey()).forEach(e -> {
            if (!e.getValue().isNull()) {
                SettingsSchema.standard().check(e.getKey(), e.getValue()).ifPresent(rules.errors::add);
            } else if (!current.values().containsKey(e.getKey())) {
                rules.errors.add(new SettingsError(e.getKey(), "", "there is no value to unset"));
            }
        });
        rules.checkDocument();
        int bytes = rules.next.encode().length;
        if (bytes > SettingsDocument.MAX_BYTES) {
            rules.errors.add(new SettingsError(
                    "(document)", bytes + " bytes", "at most " + SettingsDocument.MAX_BYTES + " bytes"));
        }
        return List.copyOf(rules.errors);
    }

    private void checkDocument() {
        Map<String, String> keyOwners = new HashMap<>();
        for (Map.Entry<String, JsonNode> e : next.values().entrySet()) {
            int cut = e.getKey().lastIndexOf('/');
            if (SettingsSchema.standard().at(e.getKey()).isEmpty()) {
                continue;
            }
            SettingTarget target =
                    SettingTarget.parse(e.getKey().substring(0, cut)).orElseThrow();
            String name = e.getKey().substring(cut + 1);
            checkExistence(e.getKey(), name, target);
            checkDeadlines(e.getKey(), name, target);
            if (name.equals(SettingsSchema.KEY_HASH)) {
                String other = keyOwners.put(e.getValue().asText(), e.getKey());
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
                if (name.equals(SettingsSchema.CALL_RULES) && view.isInference(s.service())) {
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
                        && !view.isInference(m.service())) {
                    errors.add(new SettingsError(path, "", "only an inference service has models"));
                }
            }
            case SettingTarget.Customer c -> requireCustomer(path, c.customer());
            case SettingTarget.Domain d ->
                require(path, d.path(SettingsSchema.REGION), "failure domain \"" + d.domain() + "\" does not exist");
            case SettingTarget.Global _, SettingTarget.Endpoint _ -> {
                // Both always exist: endpoints come and go with the platform's list.
            }
        }
    }

    private void checkDeadlines(String path, String name, SettingTarget target) {
        if (!name.equals(SettingsSchema.DEADLINE_DEFAULT) && !name.equals(SettingsSchema.DEADLINE_MAX)) {
            return;
        }
        Optional<EffectiveValue> usual = view.effective(target, SettingsSchema.DEADLINE_DEFAULT);
        Optional<EffectiveValue> longest = view.effective(target, SettingsSchema.DEADLINE_MAX);
        if (usual.orElseThrow().value().asLong() > longest.orElseThrow().value().asLong()) {
            errors.add(new SettingsError(
                    path,
                    next.values().get(path).toString(),
                    SettingsSchema.DEADLINE_DEFAULT + " (" + usual.get().value() + " from "
                            + usual.get().source() + ") at most " + SettingsSchema.DEADLINE_MAX + " ("
                            + longest.get().value() + " from "
                            + longest.get().source() + ")"));
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

    private void require(String path, String marker, String missing) {
        if (!isSet(marker)) {
            errors.add(new SettingsError(path, "", missing + "; it exists while " + marker + " is set"));
        }
    }

    private boolean isSet(String path) {
        return next.values().containsKey(path);
    }
}
