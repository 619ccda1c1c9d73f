package org.jujuberouter.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * How fast one objective's budget burned in one scope.
 *
 * <p>The burn rate of a window is the share of bad requests in it, divided by the share that may be bad. It is taken at the
 * time of each request, over the requests after {@code t - window} up to {@code t}. A rule fires when the rates of both
 * its windows exceed its rate and the long window holds at least {@link #MIN_REQUESTS}.
 */
final class Burn {
    /** With fewer requests in the long window, one bad request decides; such windows are not judged. */
    static final int MIN_REQUESTS = 10;

    private final Objective objective;
    private final String scope;
    private final List<Tally> tallies;
    private final List<Finding> findings;

    private Burn(Objective objective, String scope, List<Tally> tallies, List<BurnRule> rules) {
        this.objective = objective;
        this.scope = scope;
        this.tallies = merged(tallies);
        this.findings = rules.stream().map(this::apply).toList();
    }

    static Burn of(Objective objective, String scope, List<Tally> tallies, List<BurnRule> rules) {
        return new Burn(objective, scope, tallies, rules);
    }

    /**
     * What one rule found.
     *
     * @param peak the highest rate that both windows reached together
     * @param firedAt when the rule fired first, or -1
     * @param firedMs for how long it fired in all
     * @param rates the rates of the long window at the times of the tallies; NaN where it held too few requests
     */
    record Finding(BurnRule rule, double peak, long firedAt, long firedMs, double[] rates) {
        boolean fired() {
            return firedAt >= 0;
        }

        /** Tells whether the long window held enough requests at any time. */
        boolean judged() {
            return Arrays.stream(rates).anyMatch(rate -> !Double.isNaN(rate));
        }
    }

    Objective objective() {
        return objective;
    }

    String scope() {
        return scope;
    }

    List<Tally> tallies() {
        return tallies;
    }

    List<Finding> findings() {
        return findings;
    }

    long total() {
        return tallies.stream().mapToLong(Tally::total).sum();
    }

    long bad() {
        return tallies.stream().mapToLong(Tally::bad).sum();
    }

    /** Returns the spent share of the budget that the requests of this run give. */
    double budgetUsed() {
        return total() == 0 ? 0 : bad() / (total() * objective.budget());
    }

    boolean fired() {
        return findings.stream().anyMatch(Finding::fired);
    }

    private Finding apply(BurnRule rule) {
        double[] longRates = rates(rule.longMs(), MIN_REQUESTS);
        double[] shortRates = rates(rule.shortMs(), 1);
        double peak = 0;
        long firedAt = -1;
        long firedMs = 0;
        boolean firing = false;
        for (int i = 0; i < longRates.length; i++) {
            if (firing) {
                firedMs += tallies.get(i).t() - tallies.get(i - 1).t();
            }
            double both = Double.isNaN(longRates[i]) ? 0 : Math.min(longRates[i], shortRates[i]);
            peak = Math.max(peak, both);
            firing = both > rule.rate();
            if (firing && firedAt < 0) {
                firedAt = tallies.get(i).t();
            }
        }
        return new Finding(rule, peak, firedAt, firedMs, longRates);
    }

    private double[] rates(long windowMs, int minRequests) {
        double[] rates = new double[tallies.size()];
        int oldest = 0;
        long total = 0;
        long bad = 0;
        for (int i = 0; i < rates.length; i++) {
            total += tallies.get(i).total();
            bad += tallies.get(i).bad();
            while (tallies.get(oldest).t() <= tallies.get(i).t() - windowMs) {
                total -= tallies.get(oldest).total();
                bad -= tallies.get(oldest).bad();
                oldest++;
            }
            rates[i] = total < minRequests ? Double.NaN : bad / (total * objective.budget());
        }
        return rates;
    }

    /** Returns one tally for each time, in order. */
    private static List<Tally> merged(List<Tally> tallies) {
        List<Tally> sorted = new ArrayList<>(tallies);
        sorted.sort(Comparator.comparingLong(Tally::t));
        List<Tally> merged = new ArrayList<>();
        for (Tally tally : sorted) {
            if (!merged.isEmpty() && merged.getLast().t() == tally.t()) {
                Tally last = merged.removeLast();
                merged.add(new Tally(tally.t(), last.total() + tally.total(), last.bad() + tally.bad()));
            } else if (tally.total() > 0) {
                merged.add(tally);
            }
        }
        return merged;
    }
}
