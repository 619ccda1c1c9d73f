package org.jujuberouter.routing;

/**
 * The load of an endpoint at a past moment.
 *
 * @param takenNanos when it was taken, on this instance's ticker (time of arrival less the age that the sender states)
 * @param requests requests that run or wait
 * @param maxRequests requests that its owner admits at present, for instance few in cold start
 * @param pendingPrefillTokens prompt tokens still to process
 * @param kvTokens memory in use
 */
public record ReportedLoad(long takenNanos, int requests, int maxRequests, long pendingPrefillTokens, long kvTokens) {
    /** Returns the load of an idle endpoint. */
    public static ReportedLoad idle(long takenNanos) {
        return new ReportedLoad(takenNanos, 0, Integer.MAX_VALUE, 0, 0);
    }
}
