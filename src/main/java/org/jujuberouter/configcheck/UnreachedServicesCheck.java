package org.jujuberouter.configcheck;

import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.id.ServiceName;

/** Finds services that no route reaches, and names those that a route of the version in force reaches. */
final class UnreachedServicesCheck implements Check {
    private final Optional<CheckedConfiguration> inForce;

    UnreachedServicesCheck(Optional<CheckedConfiguration> inForce) {
        this.inForce = inForce;
    }

    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        // A route that cannot be read may be the one that reaches the service.
        if (!configuration.complete()) {
            return;
        }
        Set<ServiceName> before =
                inForce.map(c -> EffectiveRoutes.of(c).reachedServices()).orElse(Set.of());
        Set<ServiceName> after = EffectiveRoutes.of(configuration).reachedServices();
        for (Located<ServiceSpec> service : configuration.services()) {
            ServiceName name = service.value().name();
            if (!after.contains(name)) {
                findings.accept(Finding.warning(
                        service.location().path(),
                        name.value(),
                        "",
                        before.contains(name) ? "the service loses its last route" : "no route reaches the service"));
            }
        }
    }
}
