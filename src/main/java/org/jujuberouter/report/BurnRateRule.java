package org.jujuberouter.report;

import java.util.List;

/**
 * A multi-window alert rule: fires when the burn rates of both windows exceed the threshold.
 *
 * <p>The long window prevents alerts on a few bad requests; the short window ends the alert soon after the cause is
 * gone. The thresholds are the common ones for a budget of 30 days: 2 % of it spent in an hour, 5 % in six hours, 10 %
 * in three days.
 *
 * @param name the window lengths before scaling
 * @param longMs the length of the long window
 * @param shortMs the length of the short window
 * @param threshold the burn rate above which the rule fires; a rate of 1 spends exactly the budget
 */
public record BurnRateRule(String name, long longMs, long shortMs, double threshold) {
    private static final long MINUTE = 60_000;
    private static final long HOUR = 60 * MINUTE;

    /** The longest window of all rules. */
    static final long LONGEST_MS = 72 * HOUR;

    /** Returns the rules with all windows multiplied by the factor. */
    public static List<BurnRateRule> scaled(double factor) {
        return List.of(
                of("1 h / 5 min", HOUR, 5 * MINUTE, 14.4, factor),
                of("6 h / 30 min", 6 * HOUR, 30 * MINUTE, 6, factor),
                of("3 d / 6 h", LONGEST_MS, 6 * HOUR, 1, factor));
    }

    private static BurnRateRule of(String name, long longMs, long shortMs, double threshold, double factor) {
        return new BurnRateRule(
                name, Math.max(1, Math.round(longMs * factor)), Math.max(1, Math.round(shortMs * factor)), threshold);
    }
}
