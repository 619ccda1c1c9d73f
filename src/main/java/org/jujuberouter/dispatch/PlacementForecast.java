package org.jujuberouter.dispatch;

/**
 * When a waiting call can be placed, in milliseconds from now.
 *
 * @param earliestMs earliest time at which an engine has room for the call, behind the calls ahead of it at this instance
 * @param latestMs latest time; infinite if not known
 * @param firstEventMs earliest time of the first event, including the prefill
 * @param latestFirstEventMs latest time of the first event; infinite if not known
 * @param slotIntervalMs mean time between two freed slots of the service
 */
public record PlacementForecast(
        double earliestMs, double latestMs, double firstEventMs, double latestFirstEventMs, double slotIntervalMs) {
    /** Forecast of a call whose engines have no cost model. */
    static final PlacementForecast UNKNOWN =
            new PlacementForecast(0, Double.POSITIVE_INFINITY, 0, Double.POSITIVE_INFINITY, 0);
}
