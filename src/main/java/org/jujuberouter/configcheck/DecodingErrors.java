package org.jujuberouter.configcheck;

import java.util.HashSet;
import java.util.Set;

/** The entries in which the decoder found an error; a check that relies on their values would report it again. */
final class DecodingErrors {
    private final Set<String> paths = new HashSet<>();

    private DecodingErrors() {}

    static DecodingErrors of(CheckedConfiguration configuration) {
        DecodingErrors errors = new DecodingErrors();
        for (Finding finding : configuration.findings()) {
            if (finding.severity() == Severity.ERROR) {
                errors.addWithParents(finding.path());
            }
        }
        return errors;
    }

    private void addWithParents(String path) {
        String remaining = path;
        while (!remaining.isEmpty() && paths.add(remaining)) {
            remaining = remaining.substring(0, remaining.lastIndexOf('/'));
        }
    }

    /** Returns whether there is an error at the path or beneath it. */
    boolean contains(String path) {
        return paths.contains(path);
    }

    boolean contains(Located<?> entry) {
        return contains(entry.location().path());
    }
}
