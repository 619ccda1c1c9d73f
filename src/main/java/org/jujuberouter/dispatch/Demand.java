package org.jujuberouter.dispatch;

import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;

/**
 * What one call needs.
 *
 * @param id the call
 * @param service the service that runs it
 * @param promptTokens tokens of its prompt; 0 for a plain service
 * @param outputTokens tokens that it may generate
 * @param objectiveMs time to the first answer that counts as on time, in milliseconds
 * @param gapMs longest pause in its stream that counts as on time, in milliseconds; 0 where it does not stream
 */
public record Demand(
        RequestId id, ServiceName service, long promptTokens, long outputTokens, long objectiveMs, long gapMs) {
    /** Tokens of prompt that add the value of one short call. */
    private static final double TOKENS_PER_WEIGHT = 13_000;

    /** Returns what a late answer loses, in units of a short call; long prompts are worth more to their callers. */
    public double weight() {
        return 1 + promptTokens / TOKENS_PER_WEIGHT;
    }
}
