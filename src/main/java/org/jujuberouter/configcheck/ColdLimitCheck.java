package org.jujuberouter.configcheck;

import java.util.function.Consumer;
import org.jujuberouter.catalog.ServiceSpec;

/** Finds services whose endpoints take less than one call per second while they are cold. */
final class ColdLimitCheck implements Check {
    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        for (Located<ServiceSpec> service : configuration.services()) {
            double limit = service.value().coldCallsPerSecond();
            // 0 means that there is no cold start.
            if (limit > 0 && limit < 1) {
                findings.accept(Finding.warning(
                        service.location().path(ConfigurationField.COLD_RATE),
                        String.valueOf(limit),
                        "0 or at least 1 call per second",
                        "a cold endpoint gets hardly any calls"));
            }
        }
    }
}
