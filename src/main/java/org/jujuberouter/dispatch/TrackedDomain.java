package org.jujuberouter.dispatch;

import java.util.concurrent.TimeUnit;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;

/**
 * A failure domain with its reachability as observed by this instance.
 *
 * <p>A domain whose endpoints cannot be reached counts as cut off and is avoided as a whole, since otherwise each of its
 * endpoints would cost a call. Afterwards one call at a time probes it.
 */
public final class TrackedDomain {
    /** Number of different endpoints that must be unreachable; two may well fail together for another reason. */
    private static final int MIN_UNREACHABLE = 3;

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long INITIAL_AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Time after which a probe without a result no longer prevents another one; its caller may have disconnected. */
    private static final long PROBE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final FailureDomain domain;
    private final EndpointId[] unreachable = new EndpointId[MIN_UNREACHABLE];
    private final long[] unreachableAt = new long[MIN_UNREACHABLE];
    private int unreachableCount;
    private long avoidanceNanos;
    private long avoidedUntil;
    private boolean probing;
    private long probeEndsAt;

    TrackedDomain(FailureDomain domain) {
        this.domain = domain;
    }

    /** Returns the id of the domain. */
    public FailureDomain id() {
        return domain;
    }

    /** Returns whether calls avoid the domain now: it is cut off, and no probe is due. */
    boolean isAvoided(long now) {
        return avoidanceNanos > 0 && (now < avoidedUntil || probing && now < probeEndsAt);
    }

    /** Records that a call is placed in the domain; it is the probe if the domain counts as cut off. */
    void recordPlaced(long now) {
        if (avoidanceNanos > 0 && now >= avoidedUntil) {
            probing = true;
            probeEndsAt = now + PROBE_NANOS;
        }
    }

    /** Records that an endpoint of the domain has responded. */
    public void recordReached() {
        unreachableCount = 0;
        avoidanceNanos = 0;
        probing = false;
    }

    /** Records a connect failure or the silence of an endpoint; returns whether the domain is now found cut off. */
    public boolean recordUnreachable(EndpointId endpoint, long now) {
        if (avoidanceNanos > 0) {
            if (now >= avoidedUntil) {
                avoidFor(Math.min(MAX_AVOIDANCE_NANOS, 2 * avoidanceNanos), now);
            }
            return false;
        }
        int kept = 0;
        for (int i = 0; i < unreachableCount; i++) {
            if (now - unreachableAt[i] <= WINDOW_NANOS && !unreachable[i].equals(endpoint)) {
                unreachable[kept] = unreachable[i];
                unreachableAt[kept++] = unreachableAt[i];
            }
        }
        unreachable[kept] = endpoint;
        unreachableAt[kept++] = now;
        unreachableCount = kept;
        if (kept < MIN_UNREACHABLE) {
            return false;
        }
        avoidFor(INITIAL_AVOIDANCE_NANOS, now);
        return true;
    }

    private void avoidFor(long nanos, long now) {
        unreachableCount = 0;
        avoidanceNanos = nanos;
        avoidedUntil = now + nanos;
        probing = false;
    }
}
