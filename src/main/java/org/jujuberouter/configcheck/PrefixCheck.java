package org.jujuberouter.configcheck;

import java.util.function.Consumer;
import org.jujuberouter.catalog.Route;

/** Finds prefixes that match parts of path segments. */
final class PrefixCheck implements Check {
    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        for (Located<Route> route : configuration.routes()) {
            String prefix = route.value().prefix();
            if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
                findings.accept(Finding.error(
                        route.location().path(ConfigurationField.PREFIX),
                        prefix,
                        "begins and ends with /",
                        prefix.startsWith("/")
                                ? "the prefix also matches paths in which the last segment goes on"
                                : "paths of calls begin with a slash"));
            }
        }
    }
}
