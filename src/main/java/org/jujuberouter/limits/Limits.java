package org.jujuberouter.limits;

import java.util.Optional;

/**
 * The limits at one level of the settings. An empty value is inherited; a limit that no level sets does not apply.
 *
 * @param requestsPerSecond requests per second
 * @param tokensPerSecond tokens of prompts and answers per second
 * @param longPrompts concurrent long prompts
 */
public record Limits(
        Optional<Double> requestsPerSecond, Optional<Double> tokensPerSecond, Optional<Integer> longPrompts) {
    private static final Limits NONE = new Limits(Optional.empty(), Optional.empty(), Optional.empty());

    /** Rejects negative values. */
    public Limits {
        if (requestsPerSecond.orElse(0.0) < 0 || tokensPerSecond.orElse(0.0) < 0 || longPrompts.orElse(0) < 0) {
            throw new IllegalArgumentException("a limit must not be negative");
        }
    }

    /** Returns limits that are all inherited. */
    public static Limits inherited() {
        return NONE;
    }

    /** Returns limits that are all set. */
    public static Limits of(double requestsPerSecond, double tokensPerSecond, int longPrompts) {
        return new Limits(Optional.of(requestsPerSecond), Optional.of(tokensPerSecond), Optional.of(longPrompts));
    }

    Limits over(Limits parent) {
        return new Limits(
                requestsPerSecond.or(parent::requestsPerSecond),
                tokensPerSecond.or(parent::tokensPerSecond),
                longPrompts.or(parent::longPrompts));
    }
}
