package org.jujuberouter.report;

import java.util.List;

/**
 * A pair of windows and the burn rate that is too fast in both.
 *
 * <p>The long window keeps a few bad requests from raising an alarm, the short one ends the alarm soon after the cause is
 * gone. The rates are those of the usual rules for a budget of 30 days: 2 % of it in an hour, 5 % in six hours, 10 % in
 * three days.
 *
 * @param name the windows before scaling
 * @param longMs the long window
 * @param shortMs the short window
 * @param rate the burn rate above which the rule fires; 1 spends the budget exactly
 */
public record BurnRule(String name, long longMs, long shortMs, double rate) {
    private static final long MINUTE = 60_000;
    private static final long HOUR = 60 * MINUTE;

    /** The longest window of all rules. */
    static final long LONGEST_MS = 72 * HOUR;

    /** Returns the rules with all windows multiplied by the factor. */
    public static List<BurnRule> scaled(double factor) {
        return List.of(
                of("1 h / 5 min", HOUR, 5 * MINUTE, 14.4, factor),
                of("6 h / 30 min", 6 * HOUR, 30 * MINUTE, 6, factor),
                of("3 d / 6 h", LONGEST_MS, 6 * HOUR, 1, factor));
    }

    private static BurnRule of(String name, long longMs, long shortMs, double rate, double factor) {
        return new BurnRule(
                name, Math.max(1, Math.round(longMs * factor)), Math.max(1, Math.round(shortMs * factor)), rate);
    }
}
