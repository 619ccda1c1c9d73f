package org.jujuberouter.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jujuberouter.catalog.DomainNetwork;
import org.jujuberouter.dispatch.PromptCandidate.RankedEngine;
import org.jujuberouter.id.FailureDomain;

/**
 * Decides when a call stays in the failure domain of its instance.
 *
 * <p>A home engine goes before the equally good engines of other domains, so that a call leaves only for a better place.
 * Staying at a more crowded home engine is worth it only if the price of the transfer exceeds what calls lose there on
 * average.
 */
public final class DomainPolicy {
    /** Cost of leaving at least; the network may cost nothing. */
    private static final double MIN_HOP_COST = 0.001;

    /** Size of a typical response, in bytes. */
    private static final double RESPONSE_BYTES = 3_000;

    /** Size of a typical request if it is not known, in bytes. */
    private static final double TYPICAL_REQUEST_BYTES = 15_000;

    /** Fraction of the engines of a domain that is kept free for the calls expected there. */
    private static final double HEADROOM_FRACTION = 0.2;

    /**
     * Fraction of a call's value that is lost on average if it takes a more crowded engine. On a deployment with 58 instances,
     * keeping 42 in 100 calls in their domain in this way made 3 in 100 calls late.
     */
    private static final double CROWDED_LOSS = 0.07;

    /** Fraction of a plain endpoint's slots by which it must be less loaded to be worth a hop; smaller is nearly equal. */
    private static final double PLAIN_LOAD_MARGIN = 0.25;

    private final FailureDomain home;
    private final DomainMode mode;

    private DomainPolicy(FailureDomain home, DomainMode mode) {
        this.home = home;
        this.mode = mode;
    }

    /** Returns the policy of an instance in the given domain. */
    public static DomainPolicy of(FailureDomain home, DomainMode mode) {
        return new DomainPolicy(home, mode);
    }

    /** Returns a policy under which all domains are the same. */
    static DomainPolicy ignoringDomains() {
        return new DomainPolicy(null, DomainMode.ANY);
    }

    /** Returns whether places in the own domain are preferred to others. */
    boolean prefersHome() {
        return mode != DomainMode.ANY;
    }

    /** Returns whether calls leave only if no endpoint of the domain is usable. */
    boolean staysHome() {
        return mode == DomainMode.HOME;
    }

    /** Returns whether the domain is that of the instance. */
    boolean isHome(TrackedDomain domain) {
        return domain.id().equals(home);
    }

    /** Returns the network delay to a domain and back, in milliseconds; 0 if domains are ignored. */
    double roundTripMs(TrackedDomain domain, DomainNetwork network) {
        return !prefersHome() || isHome(domain) ? 0 : network.roundTripMs(home, domain.id());
    }

    /**
     * Returns those of equally good engines that are used: at home, so that nothing is sent to other domains for no gain,
     * else in domains that keep headroom, since the calls of the others would have to leave in turn.
     *
     * @param candidates all engines that may be used
     */
    List<RankedEngine> preferred(List<RankedEngine> equallyGood, List<TrackedEndpoint> candidates, long now) {
        if (!prefersHome()) {
            return equallyGood;
        }
        List<RankedEngine> atHome =
                equallyGood.stream().filter(r -> isHome(r.endpoint().domain())).toList();
        if (!atHome.isEmpty()) {
            return atHome;
        }
        Map<TrackedDomain, Headroom> headroom = new HashMap<>();
        for (TrackedEndpoint e : candidates) {
            headroom.computeIfAbsent(e.domain(), _ -> new Headroom()).add(CallScheduler.isFree(e, now));
        }
        List<RankedEngine> withHeadroom = equallyGood.stream()
                .filter(r -> headroom.get(r.endpoint().domain()).isKept())
                .toList();
        return withHeadroom.isEmpty() ? equallyGood : withHeadroom;
    }

    /** The engines of a domain. */
    private static final class Headroom {
        private int engines;
        private int free;

        private void add(boolean isFree) {
            engines++;
            free += isFree ? 1 : 0;
        }

        /** Returns whether enough engines are free after one more call. */
        private boolean isKept() {
            return free - 1 >= Math.ceil(engines * HEADROOM_FRACTION);
        }
    }

    /** Returns whether the call would be answered from another domain. */
    boolean isAway(PromptCandidate candidate) {
        return !isHome(candidate.engines().getFirst().domain());
    }

    /** Returns whether a hop costs so much that a call may be worth more at home than in a better place elsewhere. */
    boolean mayKeepHome(CallRequirements requirements, DomainNetwork network) {
        return prefersHome() && hopCost(requirements, network) > crowdedLoss(requirements);
    }

    /** Returns whether the price of leaving exceeds what the call and others lose at home. */
    boolean keepsHome(
            CallRequirements requirements, DomainNetwork network, PromptCandidate atHome, PromptCandidate away) {
        return atHome.cost() + crowdedLoss(requirements) < away.cost() + hopCost(requirements, network);
    }

    private static double crowdedLoss(CallRequirements requirements) {
        return CROWDED_LOSS * requirements.onTimeGain();
    }

    private static double hopCost(CallRequirements requirements, DomainNetwork network) {
        double request = requirements.requestBytes() > 0 ? requirements.requestBytes() : TYPICAL_REQUEST_BYTES;
        return Math.max(MIN_HOP_COST, (request + RESPONSE_BYTES) * network.costPerByte());
    }

    /** Returns what is added to the load of a plain endpoint, as a fraction of its slots. */
    double plainLoadMargin(TrackedEndpoint e) {
        return prefersHome() && !isHome(e.domain()) ? PLAIN_LOAD_MARGIN : 0;
    }
}
