package org.jujuberouter.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.catalog.Endpoint;

/**
 * An endpoint with its load and its health as observed by this instance.
 *
 * <p>An endpoint that fails is avoided for a back-off time that doubles with each consecutive failure, so an endpoint
 * that has disappeared without deregistering costs few calls. Afterwards it is probed with regular calls.
 */
public final class TrackedEndpoint {
    private static final long INITIAL_BACKOFF_MS = 300;
    private static final long MAX_BACKOFF_MS = 4_000;

    /** Time after which an endpoint without capacity is tried again, about the time between two events of an engine. */
    private static final long FULL_RETRY_MS = 75;

    private static final double FAILURE_RATE_SMOOTHING = 0.2;
    private static final double DELAY_SMOOTHING = 0.5;

    /** Half-life of the expected delay, so that a slow endpoint is eventually tried again. */
    private static final double DELAY_HALF_LIFE_NANOS = 1.5e9;

    /** Queued calls are tried again after up to 15 ms, so that peers gain nothing from reports of smaller delays. */
    private static final double REPORTED_DELAY_MS = 20;

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Longest cold start that is counted, so that the time of its end does not overflow. */
    private static final long MAX_COLD_NANOS = TimeUnit.DAYS.toNanos(1);

    private final EndpointLoad load = new EndpointLoad();
    private final Deque<Long> coldStarts = new ArrayDeque<>();
    private Endpoint registration;
    private TrackedDomain domain;
    private long coldByRegistrationUntil;
    private long coldByResponseUntil;
    private long expiresAt = Long.MAX_VALUE;
    private long backoffUntil = Long.MIN_VALUE;
    private long fullUntil = Long.MIN_VALUE;
    private long pausedUntil = Long.MIN_VALUE;
    private boolean leaving;
    private int consecutiveFailures;
    private double failureRate;
    private double expectedDelayMs;
    private long delayRecordedAt;

    TrackedEndpoint(Endpoint endpoint, TrackedDomain domain, long now) {
        coldByResponseUntil = now;
        update(endpoint, domain, now);
    }

    void update(Endpoint newRegistration, TrackedDomain newDomain, long now) {
        registration = newRegistration;
        domain = newDomain;
        expiresAt = Long.MAX_VALUE;
        coldByRegistrationUntil = coldUntil(newRegistration.coldMs(), now);
    }

    private static long coldUntil(long millis, long now) {
        return now + Math.min(TimeUnit.MILLISECONDS.toNanos(millis), MAX_COLD_NANOS);
    }

    void expireAt(long at) {
        expiresAt = at;
    }

    /** Returns whether the registration ended at least so long ago. */
    boolean isExpiredFor(long millis, long now) {
        return now - expiresAt >= TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Returns the latest registration of the endpoint. */
    public Endpoint registration() {
        return registration;
    }

    /** Returns the failure domain of the endpoint. */
    public TrackedDomain domain() {
        return domain;
    }

    public EndpointLoad load() {
        return load;
    }

    /** Returns whether the endpoint accepts new calls, regardless of its load. */
    public boolean isUsable(long now) {
        return !registration.draining() && !leaving && now < expiresAt;
    }

    /** Returns whether the endpoint has reported that it has no capacity, or wants a pause, and this still holds. */
    public boolean isFull(long now) {
        return now < fullUntil || now < pausedUntil;
    }

    /** Returns whether a request may be sent now that was placed a while ago, when memory had to be reserved first. */
    boolean acceptsRequests(long now) {
        return isUsable(now) && now >= pausedUntil;
    }

    /** Returns whether the endpoint is avoided because of recent failures. */
    public boolean isBackedOff(long now) {
        return now < backoffUntil;
    }

    /** Returns the moving average of the failure rate, 0 to 1. */
    public double failureRate() {
        return failureRate;
    }

    /** Returns whether the endpoint is in cold start. */
    public boolean isCold(long now) {
        return now < coldByRegistrationUntil || now < coldByResponseUntil;
    }

    /** Returns whether the endpoint is in cold start and has reached its limit of calls per second. */
    boolean isColdLimitReached(double perSecond, long now) {
        if (!isCold(now) || perSecond <= 0) {
            return false;
        }
        forgetStartsBefore(now - SECOND_NANOS);
        return coldStarts.size() >= perSecond;
    }

    void recordStart(long now) {
        if (isCold(now)) {
            forgetStartsBefore(now - SECOND_NANOS);
            coldStarts.addLast(now);
        }
    }

    /** Returns the number of calls that are known to have started during the cold start, of the last second. */
    int coldStartCount() {
        return coldStarts.size();
    }

    private void forgetStartsBefore(long nanos) {
        while (!coldStarts.isEmpty() && coldStarts.peekFirst() - nanos < 0) {
            coldStarts.pollFirst();
        }
    }

    /**
     * Records the remaining cold-start time that the endpoint stated in a response. A registration may have been written
     * before, so none ends it.
     */
    public void setColdFor(long millis, long now) {
        coldByResponseUntil = Math.max(coldByResponseUntil, coldUntil(millis, now));
    }

    /** Records a successful call. */
    public void recordSuccess() {
        consecutiveFailures = 0;
        backoffUntil = Long.MIN_VALUE;
        failureRate *= 1 - FAILURE_RATE_SMOOTHING;
    }

    /** Records a failed call. */
    public void recordFailure(long now) {
        long backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(consecutiveFailures, 4));
        consecutiveFailures++;
        failureRate += (1 - failureRate) * FAILURE_RATE_SMOOTHING;
        backoffUntil = now + TimeUnit.MILLISECONDS.toNanos(backoffMs);
    }

    /**
     * Records how much later than predicted the first event of a call arrived, in milliseconds.
     *
     * <p>Some engines continue calls whose caller has disconnected, or are slower than the cost model of their service.
     * That load is not visible to this instance, so it is estimated from the delay of recent calls.
     */
    public void recordFirstEventDelay(double millis, long now) {
        expectedDelayMs = expectedDelayMs(now) * (1 - DELAY_SMOOTHING) + Math.max(0, millis) * DELAY_SMOOTHING;
        delayRecordedAt = now;
    }

    /**
     * Returns whether peers need a report of a first event. They predict the same time, so they do if it differs from
     * that, or if it may end an expected delay.
     *
     * @param delayMs how much later than predicted the event was; negative if it was earlier
     */
    public boolean needsReport(double delayMs, long now) {
        return Math.abs(delayMs) > REPORTED_DELAY_MS || expectedDelayMs(now) > REPORTED_DELAY_MS;
    }

    /** Returns the expected delay of an additional call beyond its predicted time, in milliseconds. */
    public double expectedDelayMs(long now) {
        return expectedDelayMs * Math.pow(0.5, (now - delayRecordedAt) / DELAY_HALF_LIFE_NANOS);
    }

    /**
     * Records a failure that a peer reported. It causes only the initial back-off, because a single report says little
     * about calls from this instance.
     */
    public void recordPeerFailure(long now) {
        failureRate += (1 - failureRate) * FAILURE_RATE_SMOOTHING;
        backoffUntil = Math.max(backoffUntil, now + TimeUnit.MILLISECONDS.toNanos(INITIAL_BACKOFF_MS));
    }

    /**
     * Records that the endpoint takes no new calls for the rest of its run. The store may show it as ready for seconds, or
     * cannot be reached, so no registration of the same run ends this.
     */
    public void markLeaving() {
        leaving = true;
    }

    /** Records that the endpoint wants no calls of this instance for a while. */
    public void pauseFor(long millis, long now) {
        pausedUntil = Math.max(pausedUntil, now + TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Records that the endpoint had no capacity for a call. */
    public void markFull(long now) {
        fullUntil = Math.max(fullUntil, now + TimeUnit.MILLISECONDS.toNanos(FULL_RETRY_MS));
    }
}
