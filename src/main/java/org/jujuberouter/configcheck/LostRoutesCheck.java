package org.jujuberouter.configcheck;

import java.util.Set;
import java.util.function.Consumer;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.id.ServiceName;

/** Finds services whose last route the document takes away. */
final class LostRoutesCheck implements Check {
    private final CheckedConfiguration inForce;

    LostRoutesCheck(CheckedConfiguration inForce) {
        this.inForce = inForce;
    }

    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        // A route that cannot be read may be the one that reaches the service.
        if (!configuration.complete()) {
            return;
        }
        Set<ServiceName> before = EffectiveRoutes.of(inForce).reachedServices();
        Set<ServiceName> after = EffectiveRoutes.of(configuration).reachedServices();
        for (Located<ServiceSpec> service : configuration.services()) {
            ServiceName name = service.value().name();
            if (before.contains(name) && !after.contains(name)) {
                findings.accept(Finding.warning(
                        service.location().path(), name.value(), "", "the service loses its last route"));
            }
        }
    }
}
