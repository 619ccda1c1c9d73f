package org.jujuberouter.dispatch;

import java.util.Arrays;
import java.util.List;
import org.jujuberouter.catalog.DomainNetwork;
import org.jujuberouter.id.FailureDomain;

/**
 * The cost of placing a call outside the failure domain of its instance.
 *
 * <p>Costs are in units of a short call. They only rank places: a call never waits because leaving has a cost, since a
 * late call costs more than any hop.
 */
public final class DomainPolicy {
    /** Cost of leaving at least; otherwise equal loads would not stay home where the network costs nothing. */
    private static final double MIN_LEAVE_COST = 0.001;

    /** Size of a typical response, in bytes. */
    private static final double RESPONSE_BYTES = 3_000;

    /** Size of a typical request if it is not known, in bytes. */
    private static final double TYPICAL_REQUEST_BYTES = 15_000;

    /** Fraction of the engines of a domain that is kept free for the calls expected there. */
    private static final double HEADROOM_FRACTION = 0.2;

    /** Cost of an engine missing from that headroom; calls that find it taken can leave in turn, for a hop each. */
    private static final double MISSING_ENGINE_COST = 0.25;

    /** Maximum cost of missing headroom; the smallest loss at home, one late short call, must exceed it. */
    private static final double MAX_HEADROOM_COST = 0.5;

    /** Fraction of the latency objective up to which a predicted first event has no risk of being late. */
    private static final double SAFE_OBJECTIVE_FRACTION = 0.5;

    /** Probability of being late for a call that is predicted at the end of its usable objective; predictions scatter. */
    private static final double RISK_AT_USABLE_END = 0.3;

    private static final double USABLE_OBJECTIVE_FRACTION = 0.85;

    /** Fraction of a plain endpoint's slots by which it must be less loaded to be worth a hop; smaller is nearly equal. */
    private static final double PLAIN_LOAD_MARGIN = 0.25;

    private final FailureDomain home;
    private final DomainMode mode;
    private double[] leaveCost = new double[4];
    private double[] roundTripMs = new double[4];
    private int[] engines = new int[4];
    private int[] freeEngines = new int[4];

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

    /** Returns the cost of a hop, in units of a short call; the other terms of the cost of leaving come on top of it. */
    static double hopCost(CallRequirements requirements, DomainNetwork network) {
        double request = requirements.requestBytes() > 0 ? requirements.requestBytes() : TYPICAL_REQUEST_BYTES;
        return Math.max(MIN_LEAVE_COST, (request + RESPONSE_BYTES) * network.costPerByte());
    }

    /** Computes what leaving costs a call, for the domains of all candidates. */
    void computeLeaveCosts(
            CallRequirements requirements, DomainNetwork network, List<TrackedEndpoint> candidates, long now) {
        Arrays.fill(engines, 0);
        Arrays.fill(freeEngines, 0);
        for (int i = 0; i < candidates.size(); i++) {
            TrackedEndpoint e = candidates.get(i);
            int domain = e.domain().index();
            if (domain >= engines.length) {
                grow(domain + 1);
            }
            if (engines[domain]++ == 0) {
                roundTripMs[domain] = isHome(e.domain())
                        ? 0
                        : network.roundTripMs(home, e.domain().id());
                leaveCost[domain] = isHome(e.domain()) ? 0 : hopCost(requirements, network);
            }
            if (CallScheduler.isFree(e, now)) {
                freeEngines[domain]++;
            }
        }
        for (int domain = 0; domain < engines.length; domain++) {
            double missing = Math.ceil(engines[domain] * HEADROOM_FRACTION) - (freeEngines[domain] - 1);
            if (leaveCost[domain] > 0 && missing > 0) {
                leaveCost[domain] += Math.min(MAX_HEADROOM_COST, missing * MISSING_ENGINE_COST);
            }
        }
    }

    private void grow(int size) {
        leaveCost = Arrays.copyOf(leaveCost, size);
        roundTripMs = Arrays.copyOf(roundTripMs, size);
        engines = Arrays.copyOf(engines, size);
        freeEngines = Arrays.copyOf(freeEngines, size);
    }

    /** Returns the cost of leaving for the domain of an endpoint, as computed last. */
    double leaveCost(TrackedEndpoint e) {
        return leaveCost[e.domain().index()];
    }

    /** Returns the network delay to the domain of an endpoint and back, as computed last, in milliseconds. */
    double roundTripMs(TrackedEndpoint e) {
        return roundTripMs[e.domain().index()];
    }

    /**
     * Returns the cost of a place that is on time by the prediction, but near the objective. Used slots add nothing: leaving
     * while home engines have slots put more short streams beside the long prompts of the other domains.
     */
    static double riskCost(CallRequirements requirements, double firstEventMs) {
        double used = firstEventMs / requirements.objectiveMs() - SAFE_OBJECTIVE_FRACTION;
        double risk = Math.clamp(used / (USABLE_OBJECTIVE_FRACTION - SAFE_OBJECTIVE_FRACTION), 0, 1);
        return risk * RISK_AT_USABLE_END * requirements.onTimeGain();
    }

    /** Returns what is added to the load of a plain endpoint, as a fraction of its slots. */
    double plainLoadMargin(TrackedEndpoint e) {
        return prefersHome() && !isHome(e.domain()) ? PLAIN_LOAD_MARGIN : 0;
    }
}
