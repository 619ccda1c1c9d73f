package org.jujuberouter.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.jujuberouter.id.EndpointId;

/** The endpoints that may take a call at present, and what is known of the failure domains of the others. */
final class EligibleEndpoints {
    /**
     * Time for which late calls leave a freed slot to calls that can still be on time. Within it every instance has
     * learned of the slot and has tried its queued calls.
     */
    private static final double LATE_CALL_YIELD_MS = 30;

    /** Number of free slots from which on late calls need not yield. */
    private static final int MIN_FREE_SLOTS_WITHOUT_YIELD = 3;

    private final DomainPolicy domains;
    private final List<TrackedEndpoint> available = new ArrayList<>();
    private final List<TrackedEndpoint> healthy = new ArrayList<>();
    private boolean anyUsable;
    private boolean homeUsable;
    private boolean homeAvoided;
    private boolean elsewhereUsable;

    private EligibleEndpoints(DomainPolicy domains) {
        this.domains = domains;
    }

    /**
     * Selects among the usable endpoints of a service.
     *
     * @param tried endpoints to which the call was sent before
     * @param coldCallsPerSecond calls per second that an endpoint can serve during its cold start
     * @param yields whether the call leaves slots that have just been freed to others
     */
    static EligibleEndpoints of(
            List<TrackedEndpoint> usable,
            Set<EndpointId> tried,
            DomainPolicy domains,
            double coldCallsPerSecond,
            boolean yields,
            long now) {
        EligibleEndpoints eligible = new EligibleEndpoints(domains);
        boolean anyReachable = isAnyReachable(usable, tried, now);
        for (TrackedEndpoint e : usable) {
            if (tried.contains(e.registration().id())) {
                continue;
            }
            eligible.anyUsable = true;
            boolean atHome = domains.isHome(e.domain());
            // If all domains count as cut off, the fault is likely to be on this side, so none does.
            if (anyReachable && e.domain().isAvoided(now)) {
                eligible.homeAvoided |= atHome;
                continue;
            }
            eligible.homeUsable |= atHome;
            eligible.elsewhereUsable |= !atHome;
            if (e.isFull(now) || e.isColdLimitReached(coldCallsPerSecond, now) || yields && yieldsFreedSlot(e, now)) {
                continue;
            }
            eligible.available.add(e);
            if (!e.isBackedOff(now)) {
                eligible.healthy.add(e);
            }
        }
        if (domains.staysHome() && eligible.homeUsable) {
            eligible.available.removeIf(e -> !domains.isHome(e.domain()));
            eligible.healthy.removeIf(e -> !domains.isHome(e.domain()));
        }
        return eligible;
    }

    private static boolean isAnyReachable(List<TrackedEndpoint> usable, Set<EndpointId> tried, long now) {
        for (TrackedEndpoint e : usable) {
            if (!e.domain().isAvoided(now) && !tried.contains(e.registration().id())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Returns whether a late call leaves the free slot of an endpoint to calls that can still be on time.
     *
     * <p>Each instance has its own queue. In an overload, a late call of one instance would take a slot for which a
     * call of another instance waits that is not late yet. Most calls would then be late, as with first-come,
     * first-served order.
     */
    private static boolean yieldsFreedSlot(TrackedEndpoint e, long now) {
        return e.load().slotsUsed() > e.registration().slots() - MIN_FREE_SLOTS_WITHOUT_YIELD
                && e.load().slotFreedWithin(LATE_CALL_YIELD_MS, now);
    }

    /** Returns whether no endpoint of the service is usable at all, apart from those tried before. */
    boolean isNoneUsable() {
        return !anyUsable;
    }

    /** Returns the endpoints that may take the call. */
    List<TrackedEndpoint> candidates() {
        // If all endpoints have failed recently, trying one of them is more promising than waiting.
        return healthy.isEmpty() ? available : healthy;
    }

    /** Returns why the call has to leave the domain of the instance, if none of the candidates is there. */
    AwayReason homeState() {
        if (homeUsable) {
            return AwayReason.HOME_FULL;
        }
        return homeAvoided ? AwayReason.HOME_CUT_OFF : AwayReason.NO_ENGINE_AT_HOME;
    }

    /** Returns why a call that waits was not sent to another domain; empty if domains are ignored. */
    String whyNotAway() {
        if (!domains.prefersHome()) {
            return "";
        }
        if (!elsewhereUsable) {
            return "no endpoint of another domain is usable";
        }
        if (domains.staysHome() && homeUsable) {
            return "calls stay in their domain by setting";
        }
        for (TrackedEndpoint e : candidates()) {
            if (!domains.isHome(e.domain())
                    && e.load().slotsUsed() < e.registration().slots()) {
                return "other domains have no better place";
            }
        }
        return "other domains are full";
    }
}
