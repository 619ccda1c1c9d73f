package org.jujuberouter.routing;

/**
 * A load report of an endpoint.
 *
 * @param takenNanos when it was measured, on this instance's ticker: time of arrival minus the age stated by the sender
 * @param requests running and waiting requests
 * @param maxRequests requests that its owner currently admits; reduced, for example, during a cold start
 * @param pending prompt tokens that are not yet processed
 * @param kvTokens KV cache tokens in use
 */
public record ReportedLoad(long takenNanos, int requests, int maxRequests, Pending pending, long kvTokens) {
    /**
     * Unprocessed prompt tokens by size of the prompt. Sizes are kept apart because a shorter prompt overtakes longer
     * ones.
     *
     * @param shortTokens tokens of short prompts
     * @param mediumTokens tokens of medium prompts
     * @param longTokens tokens of long prompts
     */
    public record Pending(long shortTokens, long mediumTokens, long longTokens) {
        /** Counts all tokens as those of short prompts, for endpoints that do not report them by size. */
        public static Pending unclassified(long tokens) {
            return new Pending(tokens, 0, 0);
        }
    }

    /** Returns the load of an idle endpoint. */
    public static ReportedLoad idle(long takenNanos) {
        return new ReportedLoad(takenNanos, 0, Integer.MAX_VALUE, Pending.unclassified(0), 0);
    }
}
