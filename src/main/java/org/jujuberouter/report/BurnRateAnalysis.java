package org.jujuberouter.report;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;

/**
 * The rate at which one objective's error budget burned in one scope.
 *
 * <p>The burn rate of a window is the share of bad requests in it, divided by the share that may be bad. It is computed
 * at the time {@code t} of each count, over the requests after {@code t - window} up to {@code t}. A rule fires while
 * the burn rates of both its windows exceed its threshold and the long window holds at least {@link #MIN_REQUESTS}.
 */
final class BurnRateAnalysis {
    /**
     * The minimum number of requests in a long window; with fewer, one bad request would decide, so the window is
     * ignored.
     */
    static final int MIN_REQUESTS = 10;

    private final Objective objective;
    private final String scope;
    private final List<TimedCount> counts;
    private final List<RuleResult> ruleResults;

    private BurnRateAnalysis(Objective objective, String scope, List<TimedCount> counts, List<BurnRateRule> rules) {
        this.objective = objective;
        this.scope = scope;
        this.counts = mergeByTime(counts);
        this.ruleResults = rules.stream().map(this::evaluate).toList();
    }

    static BurnRateAnalysis of(Objective objective, String scope, List<TimedCount> counts, List<BurnRateRule> rules) {
        return new BurnRateAnalysis(objective, scope, counts, rules);
    }

    /**
     * The result of one rule.
     *
     * @param peak the highest burn rate that both windows reached at the same time
     * @param firedAt the time at which the rule first fired, or -1
     * @param firedMs the total time for which it fired
     * @param rates the burn rates of the long window at the times of the counts; NaN where it held too few requests
     */
    record RuleResult(BurnRateRule rule, double peak, long firedAt, long firedMs, double[] rates) {
        boolean fired() {
            return firedAt >= 0;
        }

        /** Returns whether the long window held enough requests at any time. */
        boolean hasEnoughRequests() {
            return Arrays.stream(rates).anyMatch(rate -> !Double.isNaN(rate));
        }
    }

    Objective objective() {
        return objective;
    }

    String scope() {
        return scope;
    }

    List<TimedCount> counts() {
        return counts;
    }

    List<RuleResult> ruleResults() {
        return ruleResults;
    }

    long total() {
        return counts.stream().mapToLong(TimedCount::total).sum();
    }

    long bad() {
        return counts.stream().mapToLong(TimedCount::bad).sum();
    }

    /** Returns the spent share of the error budget of this run; above 1 if the budget is exceeded. */
    double budgetUsed() {
        return total() == 0 ? 0 : bad() / (total() * objective.budget());
    }

    boolean fired() {
        return ruleResults.stream().anyMatch(RuleResult::fired);
    }

    private RuleResult evaluate(BurnRateRule rule) {
        double[] longRates = rates(rule.longMs(), MIN_REQUESTS);
        double[] shortRates = rates(rule.shortMs(), 1);
        double peak = 0;
        long firedAt = -1;
        long firedMs = 0;
        boolean firing = false;
        for (int i = 0; i < longRates.length; i++) {
            if (firing) {
                firedMs += counts.get(i).t() - counts.get(i - 1).t();
            }
            double lowerRate = Double.isNaN(longRates[i]) ? 0 : Math.min(longRates[i], shortRates[i]);
            peak = Math.max(peak, lowerRate);
            firing = lowerRate > rule.threshold();
            if (firing && firedAt < 0) {
                firedAt = counts.get(i).t();
            }
        }
        return new RuleResult(rule, peak, firedAt, firedMs, longRates);
    }

    private double[] rates(long windowMs, int minRequests) {
        double[] rates = new double[counts.size()];
        int oldest = 0;
        long total = 0;
        long bad = 0;
        for (int i = 0; i < rates.length; i++) {
            total += counts.get(i).total();
            bad += counts.get(i).bad();
            while (counts.get(oldest).t() <= counts.get(i).t() - windowMs) {
                total -= counts.get(oldest).total();
                bad -= counts.get(oldest).bad();
                oldest++;
            }
            rates[i] = total < minRequests ? Double.NaN : bad / (total * objective.budget());
        }
        return rates;
    }

    /** Returns the counts in order of time, with those of the same time added up. */
    private static List<TimedCount> mergeByTime(List<TimedCount> counts) {
        List<TimedCount> sorted = new ArrayList<>(counts);
        sorted.sort(Comparator.comparingLong(TimedCount::t));
        List<TimedCount> merged = new ArrayList<>();
        for (TimedCount count : sorted) {
            if (!merged.isEmpty() && merged.getLast().t() == count.t()) {
                TimedCount last = merged.removeLast();
                merged.add(new TimedCount(count.t(), last.total() + count.total(), last.bad() + count.bad()));
            } else if (count.total() > 0) {
                merged.add(count);
            }
        }
        return merged;
    }
}
