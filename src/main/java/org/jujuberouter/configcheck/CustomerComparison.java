package org.jujuberouter.configcheck;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jujuberouter.id.CustomerId;

/** Lists the customers and keys that are added and removed, and the customers that thereby lose access. */
final class CustomerComparison implements Check {
    private final CheckedConfiguration inForce;

    CustomerComparison(CheckedConfiguration inForce) {
        this.inForce = inForce;
    }

    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        compareRequirement(configuration, findings);
        Map<CustomerId, Located<DeclaredCustomer>> before = byId(inForce);
        Map<CustomerId, Located<DeclaredCustomer>> after = byId(configuration);
        after.forEach((id, customer) -> {
            Located<DeclaredCustomer> old = before.get(id);
            if (old == null) {
                findings.accept(Finding.note(customer.location().path(), id.value(), "customer added"));
                return;
            }
            if (!old.value().customer().equals(customer.value().customer())) {
                findings.accept(Finding.note(customer.location().path(), id.value(), "priority changed"));
            }
            addMissingKeys(customer, old.value().keys(), "", "key added", findings);
            addMissingKeys(old, customer.value().keys(), InForcePath.of(""), "key removed", findings);
        });
        before.forEach((id, customer) -> {
            if (!after.containsKey(id)) {
                addRemoved(customer, configuration.keysRequired(), findings);
            }
        });
    }

    private void compareRequirement(CheckedConfiguration configuration, Consumer<Finding> findings) {
        String path = configuration.root().path(ConfigurationField.CUSTOMERS);
        if (inForce.keysRequired() && !configuration.keysRequired()) {
            findings.accept(Finding.warning(path, "", "", "no customers are declared, so calls need no API key"));
        } else if (!inForce.keysRequired() && configuration.keysRequired()) {
            findings.accept(Finding.note(path, "", "calls need an API key now, unless their route is public"));
        }
    }

    private static Map<CustomerId, Located<DeclaredCustomer>> byId(CheckedConfiguration configuration) {
        Map<CustomerId, Located<DeclaredCustomer>> byId = new LinkedHashMap<>();
        configuration
                .customers()
                .forEach(c -> byId.putIfAbsent(c.value().customer().id(), c));
        return byId;
    }

    private static void addMissingKeys(
            Located<DeclaredCustomer> customer,
            List<String> others,
            String pathPrefix,
            String text,
            Consumer<Finding> findings) {
        List<String> keys = customer.value().keys();
        for (int i = 0; i < keys.size(); i++) {
            if (!others.contains(keys.get(i))) {
                findings.accept(Finding.note(
                        pathPrefix + customer.location().path(ConfigurationField.API_KEYS, i),
                        MaskedKey.of(keys.get(i)),
                        text));
            }
        }
    }

    private static void addRemoved(
            Located<DeclaredCustomer> customer, boolean keysRequired, Consumer<Finding> findings) {
        String path = InForcePath.of(customer.location().path());
        String name = customer.value().customer().id().value();
        if (keysRequired && customer.value().hasUsableKey()) {
            findings.accept(Finding.warning(path, name, "", "customer removed with its last key"));
        } else {
            findings.accept(Finding.note(path, name, "customer removed"));
        }
    }
}
