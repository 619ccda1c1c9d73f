package org.jujuberouter.configcheck;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.jujuberouter.id.CustomerId;

/** Finds customers that stay declared but lose their last API key. */
final class LostKeysCheck implements Check {
    private final CheckedConfiguration inForce;

    LostKeysCheck(CheckedConfiguration inForce) {
        this.inForce = inForce;
    }

    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        Set<CustomerId> withKey = new HashSet<>();
        inForce.customers().stream()
                .filter(c -> c.value().hasUsableKey())
                .forEach(c -> withKey.add(c.value().customer().id()));
        for (Located<DeclaredCustomer> customer : configuration.customers()) {
            CustomerId id = customer.value().customer().id();
            if (!customer.value().hasUsableKey() && withKey.contains(id)) {
                findings.accept(Finding.warning(
                        customer.location().path(ConfigurationField.API_KEYS),
                        id.value(),
                        "",
                        "the customer loses its last key"));
            }
        }
    }
}
