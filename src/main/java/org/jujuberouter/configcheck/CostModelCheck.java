package org.jujuberouter.configcheck;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.jujuberouter.catalog.EngineCostModel;
import org.jujuberouter.catalog.Route;
import org.jujuberouter.id.ServiceName;

/** Finds objectives that an idle engine of the service cannot meet for the usual prompt. */
final class CostModelCheck implements Check {
    @Override
    public void run(CheckedConfiguration configuration, Consumer<Finding> findings) {
        DecodingErrors errors = DecodingErrors.of(configuration);
        Map<ServiceName, EngineCostModel> engines = new HashMap<>();
        configuration.services().stream()
                .filter(s -> !errors.contains(s))
                .forEach(s -> s.value()
                        .engine()
                        .ifPresent(engine -> engines.put(s.value().name(), engine)));
        for (Located<Route> route : configuration.routes()) {
            if (errors.contains(route)) {
                continue;
            }
            List<EngineCostModel> models = route.value().targets().stream()
                    .filter(t -> t.weight() > 0)
                    .map(t -> engines.get(t.service()))
                    .filter(model -> model != null)
                    .toList();
            checkObjective(route, models).ifPresent(findings);
            checkGap(route, models).ifPresent(findings);
        }
    }

    private static Optional<Finding> checkObjective(Located<Route> route, List<EngineCostModel> models) {
        double neededMs = models.stream()
                .mapToDouble(m -> m.prefillMs(UsualPrompt.TOKENS))
                .max()
                .orElse(0);
        long objectiveMs = route.value().objectiveMs();
        // An objective of 0 is not declared.
        if (objectiveMs <= 0 || objectiveMs >= neededMs) {
            return Optional.empty();
        }
        return Optional.of(Finding.warning(
                route.location().path(ConfigurationField.OBJECTIVE),
                objectiveMs + " ms",
                "at least " + rounded(neededMs) + " ms",
                "an idle engine needs longer to read a prompt of " + UsualPrompt.TOKENS + " tokens"));
    }

    private static Optional<Finding> checkGap(Located<Route> route, List<EngineCostModel> models) {
        double neededMs = models.stream()
                .mapToDouble(m -> m.decodeIterationMs(1, UsualPrompt.TOKENS))
                .max()
                .orElse(0);
        long gapMs = route.value().gapObjectiveMs();
        if (gapMs <= 0 || gapMs >= neededMs || !route.value().retryPolicy().isStream()) {
            return Optional.empty();
        }
        return Optional.of(Finding.warning(
                route.location().path(ConfigurationField.GAP_OBJECTIVE),
                gapMs + " ms",
                "at least " + rounded(neededMs) + " ms",
                "an iteration of an engine with one stream takes longer"));
    }

    private static long rounded(double ms) {
        return (long) Math.ceil(ms);
    }
}
