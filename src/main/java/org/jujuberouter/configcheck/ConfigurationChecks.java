package org.jujuberouter.configcheck;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Runs all checks of a configuration. */
public final class ConfigurationChecks {
    private static final List<Check> CHECKS = List.of(
            new DuplicateNamesCheck(),
            new KeysCheck(),
            new TargetsCheck(),
            new PrefixCheck(),
            new CoveredRoutesCheck(),
            new ZeroWeightCheck(),
            new TimeoutsCheck(),
            new CostModelCheck(),
            new BodyLimitCheck(),
            new ColdLimitCheck());

    private ConfigurationChecks() {}

    /** Returns the findings without duplicates, the most severe first. */
    public static List<Finding> run(CheckedConfiguration configuration) {
        return run(configuration, checks(Optional.empty()));
    }

    /** Returns the findings and the differences from the version in force, in the same order. */
    public static List<Finding> run(CheckedConfiguration configuration, CheckedConfiguration inForce) {
        List<Check> checks = checks(Optional.of(inForce));
        checks.addAll(List.of(
                new VersionComparison(inForce),
                new RouteComparison(inForce),
                new ServiceComparison(inForce),
                new CustomerComparison(inForce),
                new LimitsComparison(inForce)));
        return run(configuration, checks);
    }

    private static List<Check> checks(Optional<CheckedConfiguration> inForce) {
        List<Check> checks = new ArrayList<>(CHECKS);
        checks.add(new UnreachedServicesCheck(inForce));
        checks.add(new KeylessCustomersCheck(inForce));
        return checks;
    }

    private static List<Finding> run(CheckedConfiguration configuration, List<Check> checks) {
        Set<Finding> findings = new LinkedHashSet<>(configuration.findings());
        checks.forEach(check -> check.run(configuration, findings::add));
        List<Finding> sorted = new ArrayList<>(findings);
        sorted.sort(Comparator.comparing(Finding::severity));
        return sorted;
    }
}
