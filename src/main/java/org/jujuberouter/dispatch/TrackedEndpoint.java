package org.jujuberouter.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.catalog.Endpoint;

/**
 * What this instance believes of one endpoint.
 *
 * <p>An endpoint that fails is avoided for a time that doubles with each further failure, so that one that is gone without
 * notice costs few calls, and is tried again by real calls.
 */
public final class TrackedEndpoint {
    private static final long INITIAL_BACKOFF_MS = 300;
    private static final long MAX_BACKOFF_MS = 4_000;

    /** Time after which an endpoint that had no room is asked again, about that of one event at an engine. */
    private static final long FULL_RETRY_MS = 75;

    private static final double FAILURE_RATE_SMOOTHING = 0.2;
    private static final double DELAY_SMOOTHING = 0.5;

    /** Time in which a delay that is not seen again counts half, so that the endpoint is tried again. */
    private static final double DELAY_HALF_LIFE_NANOS = 1.5e9;

    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EndpointLoad load = new EndpointLoad();
    private final Deque<Long> coldStarts = new ArrayDeque<>();
    private Endpoint registration;
    private long coldUntil;
    private long expiresAt = Long.MAX_VALUE;
    private long backoffUntil = Long.MIN_VALUE;
    private long fullUntil = Long.MIN_VALUE;
    private int consecutiveFailures;
    private double failureRate;
    private double expectedDelayMs;
    private long delayRecordedAt;

    TrackedEndpoint(Endpoint endpoint, long now) {
        this.registration = endpoint;
        update(endpoint, now);
    }

    void update(Endpoint newRegistration, long now) {
        registration = newRegistration;
        expiresAt = Long.MAX_VALUE;
        coldUntil = now + TimeUnit.MILLISECONDS.toNanos(newRegistration.coldMs());
    }

    void expireAt(long at) {
        expiresAt = at;
    }

    /** Returns the endpoint as it registered itself. */
    public Endpoint registration() {
        return registration;
    }

    /** Returns the work that is there. */
    public EndpointLoad load() {
        return load;
    }

    /** Tells whether new work may go there, apart from how much it already has. */
    public boolean isUsable(long now) {
        return !registration.draining() && now < expiresAt;
    }

    /** Tells whether it said a moment ago that it has no room. */
    public boolean isFull(long now) {
        return now < fullUntil;
    }

    /** Tells whether recent failures speak against it. */
    public boolean isBackedOff(long now) {
        return now < backoffUntil;
    }

    /** Returns the recent share of failed calls, 0 to 1. */
    public double failureRate() {
        return failureRate;
    }

    /** Tells whether a cold endpoint has had all calls that it bears in this second. */
    boolean isColdLimitReached(double perSecond, long now) {
        if (now >= coldUntil || perSecond <= 0) {
            return false;
        }
        while (!coldStarts.isEmpty() && now - coldStarts.peekFirst() > SECOND_NANOS) {
            coldStarts.pollFirst();
        }
        return coldStarts.size() >= perSecond;
    }

    void recordStart(long now) {
        if (now < coldUntil) {
            coldStarts.addLast(now);
        }
    }

    /** Notes that the endpoint said how long it stays cold. */
    public void setColdFor(long millis, long now) {
        coldUntil = Math.max(coldUntil, now + TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Notes a call that the endpoint answered as it should. */
    public void recordSuccess() {
        consecutiveFailures = 0;
        backoffUntil = Long.MIN_VALUE;
        failureRate *= 1 - FAILURE_RATE_SMOOTHING;
    }

    /** Notes a call that the endpoint failed. */
    public void recordFailure(long now) {
        long backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS << Math.min(consecutiveFailures, 4));
        consecutiveFailures++;
        failureRate += (1 - failureRate) * FAILURE_RATE_SMOOTHING;
        backoffUntil = now + TimeUnit.MILLISECONDS.toNanos(backoffMs);
    }

    /**
     * Notes how much later than planned the first event of a call came, in milliseconds.
     *
     * <p>Some engines work on calls whose caller has left, or are slower than their service's model; what they hold is not
     * seen from here, so the delay of the last calls stands for it.
     */
    public void recordFirstEventDelay(double millis, long now) {
        expectedDelayMs = expectedDelayMs(now) * (1 - DELAY_SMOOTHING) + Math.max(0, millis) * DELAY_SMOOTHING;
        delayRecordedAt = now;
    }

    /** Returns the delay that a further call is to expect beyond the plan, in milliseconds. */
    public double expectedDelayMs(long now) {
        return expectedDelayMs * Math.pow(0.5, (now - delayRecordedAt) / DELAY_HALF_LIFE_NANOS);
    }

    /** Notes that a peer saw the endpoint fail; one such report alone says little about calls from here. */
    public void recordPeerFailure(long now) {
        failureRate += (1 - failureRate) * FAILURE_RATE_SMOOTHING;
        backoffUntil = Math.max(backoffUntil, now + TimeUnit.MILLISECONDS.toNanos(INITIAL_BACKOFF_MS));
    }

    /** Notes that the endpoint had no room for a call. */
    public void markFull(long now) {
        fullUntil = Math.max(fullUntil, now + TimeUnit.MILLISECONDS.toNanos(FULL_RETRY_MS));
    }
}
