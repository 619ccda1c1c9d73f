package org.jujuberouter.configcheck;

import java.util.function.Consumer;

/** Finds a version that is not newer than the one in force; instances ignore an older one. */
final class VersionComparison implements Check {
    private final CheckedConfiguration inForce;

    VersionComparison(CheckedConfiguration inForce) {
        this.inForce = inForce;
    }

    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        String path = configuration.root().path(ConfigurationField.VERSION);
        boolean unknown = DecodingErrors.of(configuration).contains(path);
        if (unknown || configuration.version() > inForce.version()) {
            return;
        }
        boolean older = configuration.version() < inForce.version();
        findings.accept(new Finding(
                older ? Severity.ERROR : Severity.WARNING,
                path,
                String.valueOf(configuration.version()),
                "above " + inForce.version(),
                older
                        ? "older than the version in force, so instances ignore the document"
                        : "the version in force has the same number"));
    }
}
