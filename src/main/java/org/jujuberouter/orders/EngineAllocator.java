package org.jujuberouter.orders;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;
import org.jujuberouter.id.EndpointId;

/**
 * Allocates the engines of one service to its models, adapters and roles.
 *
 * <p>The number of engines per value follows from the weights by largest remainder. Within these numbers, engines whose
 * planned and reported values agree keep that value first, then engines keep their planned value, then their reported
 * value; only the remaining engines are moved. The allocation is deterministic and idempotent: applied to its own
 * result, it returns the same result, so no engine is moved back and forth.
 */
final class EngineAllocator {
    private EngineAllocator() {}

    /** Returns the target of each engine; empty if no declaration has a positive weight. */
    static Map<EndpointId, EngineConfig> allocate(
            List<ModelDeclaration> declarations,
            Map<EndpointId, EngineConfig> reported,
            Map<EndpointId, EngineConfig> previous) {
        Map<String, ModelDeclaration> byModel = new TreeMap<>();
        declarations.forEach(d -> byModel.put(d.model(), d));
        Map<String, Double> weights = new TreeMap<>();
        declarations.forEach(d -> weights.put(d.model(), d.weight()));
        Map<EndpointId, String> models = assign(
                reported.keySet(), weights, reported, previous, t -> t.spec().model());
        Map<EndpointId, EngineConfig> all = new HashMap<>();
        byModel.forEach((model, declaration) -> {
            List<EndpointId> enginesOfModel = models.keySet().stream()
                    .filter(e -> models.get(e).equals(model))
                    .toList();
            Map<String, Double> adapters = new TreeMap<>();
            (declaration.adapters().isEmpty() ? List.of("") : declaration.adapters())
                    .forEach(a -> adapters.put(a, 1.0));
            Map<EndpointId, String> adapter = assign(
                    enginesOfModel, adapters, reported, previous, t -> t.spec().adapter());
            Map<EndpointId, String> role = assign(
                    enginesOfModel,
                    roles(declaration),
                    reported,
                    previous,
                    t -> t.role().name());
            for (EndpointId e : enginesOfModel) {
                ModelSpec spec = ModelSpec.of(model, adapter.get(e), declaration.version());
                all.put(e, EngineConfig.of(spec, ServingRole.valueOf(role.get(e))));
            }
        });
        return all;
    }

    private static Map<String, Double> roles(ModelDeclaration declaration) {
        return declaration.prefillShare() <= 0
                ? Map.of(ServingRole.MIXED.name(), 1.0)
                : Map.of(
                        ServingRole.PREFILL.name(),
                        declaration.prefillShare(),
                        ServingRole.DECODE.name(),
                        1 - declaration.prefillShare());
    }

    private static Map<EndpointId, String> assign(
            Collection<EndpointId> engines,
            Map<String, Double> weights,
            Map<EndpointId, EngineConfig> reported,
            Map<EndpointId, EngineConfig> previous,
            Function<EngineConfig, String> attribute) {
        Map<String, Integer> remaining = engineCounts(engines.size(), weights);
        TreeSet<EndpointId> unassigned = new TreeSet<>(java.util.Comparator.comparing(EndpointId::value));
        unassigned.addAll(engines);
        Map<EndpointId, String> result = new HashMap<>();
        Function<EndpointId, String> reportedValue = e -> attributeOf(reported.get(e), attribute);
        Function<EndpointId, String> plannedValue = e -> attributeOf(previous.get(e), attribute);
        List<Function<EndpointId, String>> preferences = List.of(
                e -> plannedValue.apply(e).equals(reportedValue.apply(e)) ? reportedValue.apply(e) : "\n",
                plannedValue,
                reportedValue);
        for (Function<EndpointId, String> preference : preferences) {
            unassigned.removeIf(e -> tryAssign(remaining, preference.apply(e), e, result));
        }
        for (EndpointId e : unassigned) {
            remaining.keySet().stream()
                    .filter(k -> remaining.get(k) > 0)
                    .findFirst()
                    .ifPresent(k -> tryAssign(remaining, k, e, result));
        }
        return result;
    }

    private static boolean tryAssign(
            Map<String, Integer> remaining, String key, EndpointId e, Map<EndpointId, String> result) {
        if (remaining.getOrDefault(key, 0) <= 0) {
            return false;
        }
        remaining.merge(key, -1, Integer::sum);
        result.put(e, key);
        return true;
    }

    /** Returns the attribute of a configuration; without configuration, a value that matches no weight. */
    private static String attributeOf(EngineConfig target, Function<EngineConfig, String> attribute) {
        return target == null ? "\n" : attribute.apply(target);
    }

    /** Returns the number of engines per key; every key with a positive weight gets one before any gets a second. */
    static Map<String, Integer> engineCounts(int engines, Map<String, Double> weights) {
        Map<String, Integer> counts = new TreeMap<>();
        TreeMap<String, Double> positiveWeights = new TreeMap<>();
        weights.forEach((k, w) -> {
            if (w > 0) {
                positiveWeights.put(k, w);
                counts.put(k, 0);
            }
        });
        double sum = positiveWeights.values().stream().mapToDouble(w -> w).sum();
        for (int assigned = 0; assigned < engines && sum > 0; assigned++) {
            String next = null;
            double largestDeficit = Double.NEGATIVE_INFINITY;
            for (Map.Entry<String, Double> e : positiveWeights.entrySet()) {
                int count = counts.get(e.getKey());
                double deficit = e.getValue() / sum * engines - count + (count == 0 ? engines : 0);
                if (deficit > largestDeficit) {
                    largestDeficit = deficit;
                    next = e.getKey();
                }
            }
            counts.merge(next, 1, Integer::sum);
        }
        return counts;
    }
}
