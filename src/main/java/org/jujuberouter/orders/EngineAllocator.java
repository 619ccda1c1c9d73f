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
 * Divides the engines of one service among its models, adapters and roles.
 *
 * <p>Numbers come from the weights by largest remainder. An engine then keeps what it was meant for and has, else what it was
 * meant for, else what it has, as long as the number leaves room; only the rest is moved. The same input always gives the
 * same result, and a result taken as input gives itself, so no engine is moved back and forth.
 */
final class EngineAllocator {
    private EngineAllocator() {}

    /** Returns the target of each engine; empty when no offer has a weight. */
    static Map<EndpointId, EngineConfig> divide(
            List<ModelDeclaration> offers,
            Map<EndpointId, EngineConfig> reported,
            Map<EndpointId, EngineConfig> previous) {
        Map<String, ModelDeclaration> byModel = new TreeMap<>();
        offers.forEach(o -> byModel.put(o.model(), o));
        Map<String, Double> weights = new TreeMap<>();
        offers.forEach(o -> weights.put(o.model(), o.engines()));
        Map<EndpointId, String> models = spread(
                reported.keySet(), weights, reported, previous, t -> t.content().model());
        Map<EndpointId, EngineConfig> all = new HashMap<>();
        byModel.forEach((model, offer) -> {
            List<EndpointId> mine = models.keySet().stream()
                    .filter(e -> models.get(e).equals(model))
                    .toList();
            Map<String, Double> adapters = new TreeMap<>();
            (offer.adapters().isEmpty() ? List.of("") : offer.adapters()).forEach(a -> adapters.put(a, 1.0));
            Map<EndpointId, String> adapter =
                    spread(mine, adapters, reported, previous, t -> t.content().adapter());
            Map<EndpointId, String> role =
                    spread(mine, roles(offer), reported, previous, t -> t.role().name());
            for (EndpointId e : mine) {
                ModelSpec content = ModelSpec.of(model, adapter.get(e), offer.version());
                all.put(e, EngineConfig.of(content, ServingRole.valueOf(role.get(e))));
            }
        });
        return all;
    }

    private static Map<String, Double> roles(ModelDeclaration offer) {
        return offer.prefillShare() <= 0
                ? Map.of(ServingRole.MIXED.name(), 1.0)
                : Map.of(
                        ServingRole.PREFILL.name(),
                        offer.prefillShare(),
                        ServingRole.DECODE.name(),
                        1 - offer.prefillShare());
    }

    private static Map<EndpointId, String> spread(
            Collection<EndpointId> engines,
            Map<String, Double> weights,
            Map<EndpointId, EngineConfig> reported,
            Map<EndpointId, EngineConfig> previous,
            Function<EngineConfig, String> part) {
        Map<String, Integer> left = numbers(engines.size(), weights);
        TreeSet<EndpointId> open = new TreeSet<>(java.util.Comparator.comparing(EndpointId::value));
        open.addAll(engines);
        Map<EndpointId, String> result = new HashMap<>();
        Function<EndpointId, String> had = e -> partOf(reported.get(e), part);
        Function<EndpointId, String> meant = e -> partOf(previous.get(e), part);
        List<Function<EndpointId, String>> preferences =
                List.of(e -> meant.apply(e).equals(had.apply(e)) ? had.apply(e) : "\n", meant, had);
        for (Function<EndpointId, String> preference : preferences) {
            open.removeIf(e -> take(left, preference.apply(e), e, result));
        }
        for (EndpointId e : open) {
            left.keySet().stream().filter(k -> left.get(k) > 0).findFirst().ifPresent(k -> take(left, k, e, result));
        }
        return result;
    }

    private static boolean take(Map<String, Integer> left, String key, EndpointId e, Map<EndpointId, String> result) {
        if (left.getOrDefault(key, 0) <= 0) {
            return false;
        }
        left.merge(key, -1, Integer::sum);
        result.put(e, key);
        return true;
    }

    /** A part that no weight is given for, such as of an engine without a target, matches nothing. */
    private static String partOf(EngineConfig target, Function<EngineConfig, String> part) {
        return target == null ? "\n" : part.apply(target);
    }

    /** Returns how many engines each key gets; every key with a weight gets one before any gets a second. */
    static Map<String, Integer> numbers(int engines, Map<String, Double> weights) {
        Map<String, Integer> numbers = new TreeMap<>();
        TreeMap<String, Double> wanted = new TreeMap<>();
        weights.forEach((k, w) -> {
            if (w > 0) {
                wanted.put(k, w);
                numbers.put(k, 0);
            }
        });
        double sum = wanted.values().stream().mapToDouble(w -> w).sum();
        for (int given = 0; given < engines && sum > 0; given++) {
            String next = null;
            double most = Double.NEGATIVE_INFINITY;
            for (Map.Entry<String, Double> e : wanted.entrySet()) {
                int has = numbers.get(e.getKey());
                double lacks = e.getValue() / sum * engines - has + (has == 0 ? engines : 0);
                if (lacks > most) {
                    most = lacks;
                    next = e.getKey();
                }
            }
            numbers.merge(next, 1, Integer::sum);
        }
        return numbers;
    }
}
