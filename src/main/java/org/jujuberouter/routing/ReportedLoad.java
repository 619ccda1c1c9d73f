package org.jujuberouter.routing;

/**
 * The load of an endpoint at a past moment.
 *
 * @param takenNanos when it was taken, on this instance's ticker (time of arrival less the age that the sender states)
 * @param requests requests that run or wait
 * @param maxRequests requests that its owner admits at present, for instance few in cold start
 * @param pending prompt tokens still to process
 * @param kvTokens memory in use
 */
public record ReportedLoad(long takenNanos, int requests, int maxRequests, Pending pending, long kvTokens) {
    /**
     * Prompt tokens still to process by lane. Lanes are told apart because a short prompt overtakes the others.
     *
     * @param shortTokens in the short lane
     * @param mediumTokens in the medium lane
     * @param longTokens in the long lane
     */
    public record Pending(long shortTokens, long mediumTokens, long longTokens) {
        /** Returns the tokens as if all were short, for endpoints without lanes. */
        public static Pending unclassified(long tokens) {
            return new Pending(tokens, 0, 0);
        }
    }

    /** Returns the load of an idle endpoint. */
    public static ReportedLoad idle(long takenNanos) {
        return new ReportedLoad(takenNanos, 0, Integer.MAX_VALUE, Pending.unclassified(0), 0);
    }
}
