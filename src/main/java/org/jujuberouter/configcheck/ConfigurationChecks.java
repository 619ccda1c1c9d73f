package org.jujuberouter.configcheck;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Runs all checks of a configuration. */
public final class ConfigurationChecks {
    private static final List<Check> CHECKS =
            List.of(new DuplicateNamesCheck(), new KeysCheck(), new TargetsCheck(), new PrefixCheck());

    private ConfigurationChecks() {}

    /** Returns the findings without duplicates, the most severe first. */
    public static List<Finding> run(CheckedConfiguration configuration) {
        Set<Finding> findings = new LinkedHashSet<>(configuration.findings());
        CHECKS.forEach(check -> check.run(configuration, findings::add));
        List<Finding> sorted = new ArrayList<>(findings);
        sorted.sort(Comparator.comparing(Finding::severity));
        return sorted;
    }
}
