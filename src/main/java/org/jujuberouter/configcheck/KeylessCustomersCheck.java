package org.jujuberouter.configcheck;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jujuberouter.catalog.Route;
import org.jujuberouter.id.CustomerId;

/** Finds customers without a key where no route is public, and customers that lose their last key. */
final class KeylessCustomersCheck implements Check {
    private final Optional<CheckedConfiguration> inForce;

    KeylessCustomersCheck(Optional<CheckedConfiguration> inForce) {
        this.inForce = inForce;
    }

    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        Set<CustomerId> withKey = new HashSet<>();
        inForce.ifPresent(c -> c.customers().stream()
                .filter(declared -> declared.value().hasUsableKey())
                .forEach(declared -> withKey.add(declared.value().customer().id())));
        DecodingErrors errors = DecodingErrors.of(configuration);
        // A route that cannot be read may be public.
        boolean keysOnly = configuration.complete()
                && configuration.routes().stream().map(Located::value).noneMatch(Route::publicAccess);
        for (Located<DeclaredCustomer> customer : configuration.customers()) {
            String path = customer.location().path(ConfigurationField.API_KEYS);
            CustomerId id = customer.value().customer().id();
            if (!customer.value().hasUsableKey() && withKey.contains(id)) {
                findings.accept(Finding.warning(path, id.value(), "", "the customer loses its last key"));
            } else if (customer.value().keys().isEmpty() && keysOnly && !errors.contains(path)) {
                findings.accept(Finding.warning(
                        path,
                        id.value(),
                        "",
                        "the customer has no key and no route is public, so it can make no call"));
            }
        }
    }
}
