package org.jujuberouter.configcheck;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.id.ServiceName;

/** Lists the services that are added, removed and changed. */
final class ServiceComparison implements Check {
    private final CheckedConfiguration inForce;

    ServiceComparison(CheckedConfiguration inForce) {
        this.inForce = inForce;
    }

    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        Map<ServiceName, ServiceSpec> before = new HashMap<>();
        inForce.services().forEach(s -> before.put(s.value().name(), s.value()));
        for (Located<ServiceSpec> service : configuration.services()) {
            String name = service.value().name().value();
            ServiceSpec old = before.get(service.value().name());
            if (!inForce.declaredServices().contains(service.value().name())) {
                findings.accept(Finding.note(service.location().path(), name, "service added"));
            } else if (old != null && !old.equals(service.value())) {
                findings.accept(Finding.note(
                        service.location().path(),
                        name,
                        "service changed: " + RecordDifference.of(old, service.value())));
            }
        }
        for (Located<ServiceSpec> service : inForce.services()) {
            if (!configuration.declaredServices().contains(service.value().name())) {
                findings.accept(Finding.note(
                        InForcePath.of(service.location().path()),
                        service.value().name().value(),
                        "service removed"));
            }
        }
    }
}
