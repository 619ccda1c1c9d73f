package org.jujuberouter.scaling;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.jujuberouter.catalog.ScalingSpec;
import org.jujuberouter.id.FailureDomain;

/**
 * Divides engines among the failure domains in proportion to the demand that arrives there.
 *
 * <p>Engines are added where most are missing and removed where most are superfluous, one after the other. A total that
 * does not change therefore moves no engine, however the shares of the domains fluctuate.
 */
final class EngineDivision {
    /** Minimum part of an even share, so that a domain can serve calls when the way to the others is cut. */
    private static final double MIN_PART_OF_EVEN_SHARE = 0.2;

    private final Map<FailureDomain, Double> shares = new HashMap<>();
    private final ScalingSpec bounds;

    private EngineDivision(ScalingSpec bounds) {
        this.bounds = bounds;
    }

    /** Returns the division among the given domains for the given load of each. */
    static EngineDivision of(Set<FailureDomain> domains, Map<FailureDomain, Double> loads, ScalingSpec bounds) {
        EngineDivision division = new EngineDivision(bounds);
        double total =
                domains.stream().mapToDouble(d -> loads.getOrDefault(d, 0.0)).sum();
        double even = 1.0 / Math.max(1, domains.size());
        double sum = 0;
        for (FailureDomain domain : domains) {
            double proportional = total > 0 ? loads.getOrDefault(domain, 0.0) / total : even;
            double share = Math.max(proportional, MIN_PART_OF_EVEN_SHARE * even);
            division.shares.put(domain, share);
            sum += share;
        }
        double scale = 1 / Math.max(sum, Double.MIN_NORMAL);
        division.shares.replaceAll((_, share) -> share * scale);
        return division;
    }

    /** Adds up to the given number of engines to the counts. */
    void grow(Map<FailureDomain, Integer> counts, int engines) {
        move(counts, engines, 1);
    }

    /** Removes up to the given number of engines from the counts. */
    void shrink(Map<FailureDomain, Integer> counts, int engines) {
        move(counts, engines, -1);
    }

    private void move(Map<FailureDomain, Integer> counts, int engines, int step) {
        int total = step * engines;
        for (FailureDomain domain : shares.keySet()) {
            total += counts.get(domain);
        }
        int moved = 0;
        while (moved < engines) {
            FailureDomain best = null;
            double largest = Double.NEGATIVE_INFINITY;
            for (Map.Entry<FailureDomain, Double> share : shares.entrySet()) {
                int count = counts.get(share.getKey());
                double distance = step * (share.getValue() * total - count);
                boolean isBetter = distance > largest
                        || distance == largest && share.getKey().compareTo(best) < 0;
                if (isBetter && (step > 0 ? count < bounds.max() : isRemovable(count, total))) {
                    best = share.getKey();
                    largest = distance;
                }
            }
            if (best == null) {
                return;
            }
            int count = counts.get(best);
            // The platform raises an order below the minimum to the minimum.
            int changed = step > 0 ? Math.max(count + 1, bounds.min()) : count - 1;
            counts.put(best, changed);
            moved += Math.abs(changed - count);
        }
    }

    private boolean isRemovable(int count, int total) {
        int minimum = Math.max(bounds.min(), (int) Math.ceil(MIN_PART_OF_EVEN_SHARE * total / shares.size()));
        // The platform lowers an order above the maximum to the maximum, which may be far more than one engine.
        return count > minimum && count - 1 <= bounds.max();
    }
}
