package org.jujuberouter.limits;

import java.util.Optional;

/**
 * Limits at one level of the tree of settings; what is empty is inherited, and without any value there is no limit.
 *
 * @param requestsPerSecond requests a second
 * @param tokensPerSecond tokens of prompts and answers a second
 * @param longPrompts long prompts at the same time
 */
public record Limits(
        Optional<Double> requestsPerSecond, Optional<Double> tokensPerSecond, Optional<Integer> longPrompts) {
    private static final Limits NONE = new Limits(Optional.empty(), Optional.empty(), Optional.empty());

    /** Rejects values below zero. */
    public Limits {
        if (requestsPerSecond.orElse(0.0) < 0 || tokensPerSecond.orElse(0.0) < 0 || longPrompts.orElse(0) < 0) {
            throw new IllegalArgumentException("a limit must not be negative");
        }
    }

    /** Returns a level that inherits everything. */
    public static Limits inherited() {
        return NONE;
    }

    /** Returns a level that sets everything. */
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
