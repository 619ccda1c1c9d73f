package org.jujuberouter.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.Ticker;

/**
 * The work that each customer has had from each service in the last seconds, and its fair share while calls wait.
 *
 * <p>Work is charged when a call is placed, by this instance or by a peer of its group, and decays exponentially. The
 * fair share is the level up to which all customers can be served if nobody gets more than the level or than it asks
 * for (max-min fairness). What a customer left unused in the last seconds is thereby saved for a burst. A call whose
 * customer is above the level goes behind those of customers below it; the work that a call will add does not count
 * beforehand, so that a large call is served if its customer has had little before.
 *
 * <p>Usage is stored multiplied by the growth of the inverse decay since a common origin, so that charging and
 * comparing need no update of the other customers.
 */
public final class FairShare {
    /** Time constant of the decay: long enough to cover a stream, short enough to forget a burst within seconds. */
    private static final double TIME_CONSTANT_MS = 3_000;

    /** Usage in fractions of the fair share above which calls are deferred; avoids reordering among equals. */
    private static final double DEFERRAL_THRESHOLD = 1.05;

    /** Time for which a placed call that had waited shows that its customer asks for more, at this or another instance. */
    private static final long WAITED_DEMAND_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Waiting time from which on a placed call had to wait for capacity rather than for the next attempt to place it. */
    private static final long MIN_WAIT_MS = 20;

    /** Age of a round after which its result is not used; rounds are 10 ms apart while calls wait. */
    private static final long MAX_ROUND_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Growth in time constants after which the stored values are rescaled, well within the range of a double. */
    private static final double MAX_GROWTH = 30;

    /** Usage below which an account is removed; far below the work of any call. */
    private static final double NEGLIGIBLE_WORK_MS = 0.01;

    /**
     * Part of its work that a priority gets placed at least, relative to the part of the highest waiting one. Below 1, so
     * that no priority is served less than a lower one; near it, because long prompts often have the lower priority.
     */
    private static final double MIN_PRIORITY_FRACTION = 0.8;

    /** Fraction of the fair share below which a customer that waits is not served as it should be. */
    private static final double BELOW_SHARE_FRACTION = 0.9;

    /**
     * Time below the share after which late calls are not put back. Random variation seldom lasts as long, so in a
     * general overload late calls rarely take the places of calls that can be on time.
     */
    private static final long MAX_BELOW_SHARE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Maximum number of passes over the accounts to find the level; the level is exact after a few. */
    private static final int MAX_PASSES = 16;

    private final Ticker ticker;
    private final boolean enforced;
    private final Map<ServiceName, Contest> contests = new HashMap<>();
    private long originNanos;
    private long roundNanos;
    private boolean anyScarce;
    private long deferredCalls;

    private static final class Account {
        private double usage;
        private long contendsUntil;
        private long notBelowShareAt;

        private Account(long now) {
            contendsUntil = now;
            notBelowShareAt = now;
        }

        private boolean contends(long now) {
            return contendsUntil - now > 0;
        }
    }

    /** The work of one priority that arrived at this instance, and the part of it that was placed. */
    private static final class PriorityWork {
        private double arrived;
        private double placed;
    }

    /** The customers of one service. */
    private static final class Contest {
        private final Map<Optional<CustomerId>, Account> accounts = new HashMap<>();
        private final Map<Integer, PriorityWork> priorities = new HashMap<>();
        private double total;
        private double level;
        private long computedNanos;
        private boolean scarce;
        private boolean belowShareContends;
        private int highestPriority;
    }

    /**
     * The usage of one customer.
     *
     * @param customer the customer; empty for calls of public routes
     * @param percentOfEqualShare work of the last seconds, in percent of an equal share of the work of all customers,
     *     at the service where this is highest
     */
    public record Usage(Optional<CustomerId> customer, long percentOfEqualShare) {}

    private FairShare(Ticker ticker, boolean enforced) {
        this.ticker = ticker;
        this.enforced = enforced;
        this.originNanos = ticker.nanos();
        this.roundNanos = originNanos;
    }

    /** Returns shares without any recorded work. */
    public static FairShare of(Ticker ticker) {
        return new FairShare(ticker, true);
    }

    /** Returns shares that are recorded, but have no effect on the order of calls. */
    public static FairShare recordedOnly(Ticker ticker) {
        return new FairShare(ticker, false);
    }

    /**
     * Charges the work of a call that this instance or a peer has placed.
     *
     * @param waitedMs time for which the call had waited to be placed, in milliseconds
     */
    public void charge(ServiceName service, WorkClaim claim, long waitedMs) {
        if (claim.workMs() <= 0) {
            return;
        }
        long now = ticker.nanos();
        double work = claim.workMs() * growth(now);
        Contest contest = contests.computeIfAbsent(service, _ -> new Contest());
        Account account = contest.accounts.computeIfAbsent(claim.customer(), _ -> new Account(now));
        account.usage += work;
        contest.total += work;
        if (enforced && claim.priority() != WorkClaim.UNKNOWN_PRIORITY) {
            contest.priorities.computeIfAbsent(claim.priority(), _ -> new PriorityWork()).placed += work;
        }
        if (waitedMs >= MIN_WAIT_MS) {
            extendDemand(account, now + WAITED_DEMAND_NANOS);
        }
    }

    /** Records a call that arrived at this instance. */
    public void recordArrival(CallRequirements call) {
        if (!enforced) {
            return;
        }
        Contest contest = contests.computeIfAbsent(call.service(), _ -> new Contest());
        contest.priorities.computeIfAbsent(call.claim().priority(), _ -> new PriorityWork()).arrived +=
                call.claim().workMs() * growth(ticker.nanos());
    }

    /** Begins a round of placing the waiting calls. */
    void beginRound() {
        roundNanos = ticker.nanos();
        if (anyScarce) {
            contests.values().forEach(c -> c.scarce = false);
            anyScarce = false;
        }
    }

    /** Records that a call of the service waits because no endpoint had room for it. */
    void recordScarcity(ServiceName service) {
        if (!enforced) {
            return;
        }
        Contest contest = contests.computeIfAbsent(service, _ -> new Contest());
        if (!contest.scarce) {
            contest.scarce = true;
            contest.highestPriority = Integer.MAX_VALUE;
            anyScarce = true;
        }
    }

    /** Records a waiting call; without effect unless its service is scarce. */
    void recordWaiting(ServiceName service, WorkClaim claim) {
        Contest contest = contests.get(service);
        if (contest != null && contest.scarce) {
            Account account = contest.accounts.computeIfAbsent(claim.customer(), _ -> new Account(roundNanos));
            extendDemand(account, roundNanos + MAX_ROUND_AGE_NANOS);
            contest.highestPriority = Math.min(contest.highestPriority, claim.priority());
            contest.priorities.computeIfAbsent(claim.priority(), _ -> new PriorityWork());
        }
    }

    /** Computes the shares of the scarce services after all waiting calls have been recorded. */
    void computeShares() {
        growth(roundNanos);
        for (Contest contest : contests.values()) {
            if (contest.scarce) {
                contest.level = level(contest, roundNanos);
                contest.belowShareContends = false;
                boolean interrupted = roundNanos - contest.computedNanos > MAX_ROUND_AGE_NANOS;
                contest.computedNanos = roundNanos;
                for (Account account : contest.accounts.values()) {
                    boolean contends = account.contends(roundNanos);
                    contest.belowShareContends |= contends && account.usage <= contest.level * DEFERRAL_THRESHOLD;
                    if (interrupted || !contends || account.usage >= contest.level * BELOW_SHARE_FRACTION) {
                        account.notBelowShareAt = roundNanos;
                    }
                }
            }
        }
    }

    /** Returns whether calls of any service waited for capacity in the last round. */
    boolean isAnyScarce() {
        return anyScarce;
    }

    /**
     * Returns the class of a waiting call, the lowest first. Classes differ only while the service is scarce. A call that
     * cannot wait much longer is of the first class while its priority or its customer has had too little, so that it
     * does not starve.
     */
    int priorityClass(CallRequirements call, double waitedMs) {
        Contest contest = contests.get(call.service());
        if (contest == null || !contest.scarce) {
            return 0;
        }
        int priority = call.claim().priority();
        if (priority == contest.highestPriority || call.yieldsToHigherPriority(waitedMs)) {
            return priority;
        }
        PriorityWork own = contest.priorities.get(priority);
        PriorityWork highest = contest.priorities.get(contest.highestPriority);
        boolean priorityServedLess =
                own.placed * highest.arrived < MIN_PRIORITY_FRACTION * highest.placed * own.arrived;
        boolean customerServedLess = usage(contest, call) < MIN_PRIORITY_FRACTION * contest.level;
        return priorityServedLess || customerServedLess ? contest.highestPriority : priority;
    }

    /** Returns whether the customer of a call has had more than its fair share of a scarce service. */
    boolean isAboveShare(CallRequirements call) {
        Contest contest = contests.get(call.service());
        return contest != null && contest.scarce && usage(contest, call) > contest.level * DEFERRAL_THRESHOLD;
    }

    /** Returns how the customer of a call stands to its fair share of the service. */
    public CustomerStanding standing(CallRequirements call) {
        if (!anyScarce || ticker.nanos() - roundNanos >= MAX_ROUND_AGE_NANOS) {
            return CustomerStanding.NORMAL;
        }
        Contest contest = contests.get(call.service());
        if (contest == null || !contest.scarce) {
            return CustomerStanding.NORMAL;
        }
        Account account = contest.accounts.get(call.claim().customer());
        if (account != null && roundNanos - account.notBelowShareAt > MAX_BELOW_SHARE_NANOS) {
            return CustomerStanding.KEPT_BELOW_SHARE;
        }
        return isAboveShare(call) && contest.belowShareContends ? CustomerStanding.DEFERRED : CustomerStanding.NORMAL;
    }

    private static double usage(Contest contest, CallRequirements call) {
        Account account = contest.accounts.get(call.claim().customer());
        return account == null ? 0 : account.usage;
    }

    /** Counts a call that was put behind calls of other customers because of its customer's share. */
    void countDeferredCall() {
        deferredCalls++;
    }

    /** Returns the number of calls that were put behind calls of other customers. */
    public long deferredCalls() {
        return deferredCalls;
    }

    /** Returns the usage of the customers that use most of their shares. */
    public List<Usage> largest(int count) {
        double negligible = NEGLIGIBLE_WORK_MS * growth(ticker.nanos());
        Map<Optional<CustomerId>, Long> percent = new HashMap<>();
        for (Contest contest : contests.values()) {
            int active = 0;
            for (Account account : contest.accounts.values()) {
                active += account.usage > negligible ? 1 : 0;
            }
            for (Map.Entry<Optional<CustomerId>, Account> e : contest.accounts.entrySet()) {
                if (e.getValue().usage > negligible) {
                    long used = Math.round(100 * e.getValue().usage * active / contest.total);
                    percent.merge(e.getKey(), used, Math::max);
                }
            }
        }
        List<Usage> usages = new ArrayList<>();
        percent.forEach((customer, used) -> usages.add(new Usage(customer, used)));
        usages.sort(Comparator.comparingLong(Usage::percentOfEqualShare).reversed());
        return usages.subList(0, Math.min(count, usages.size()));
    }

    /**
     * Returns the usage up to which all customers can be served: those with unmet demand equally, the others as far as
     * they ask. The level only rises from pass to pass, as more customers turn out to ask for less than it.
     */
    private static double level(Contest contest, long now) {
        int customers = contest.accounts.size();
        double level = contest.total / customers;
        for (int pass = 0; pass < MAX_PASSES; pass++) {
            double satisfiedUsage = 0;
            int satisfied = 0;
            for (Account account : contest.accounts.values()) {
                if (!account.contends(now) && account.usage <= level) {
                    satisfiedUsage += account.usage;
                    satisfied++;
                }
            }
            if (satisfied == customers) {
                return contest.total;
            }
            double next = (contest.total - satisfiedUsage) / (customers - satisfied);
            if (next <= level) {
                return level;
            }
            level = next;
        }
        return level;
    }

    private static void extendDemand(Account account, long until) {
        if (until - account.contendsUntil > 0) {
            account.contendsUntil = until;
        }
    }

    /** Returns the factor by which work at the given time is multiplied; rescales the stored usage from time to time. */
    private double growth(long now) {
        double exponent = (now - originNanos) / 1e6 / TIME_CONSTANT_MS;
        if (exponent <= MAX_GROWTH) {
            return Math.exp(exponent);
        }
        double decay = Math.exp(-exponent);
        originNanos = now;
        for (Contest contest : contests.values()) {
            contest.level *= decay;
            contest.total = 0;
            for (PriorityWork work : contest.priorities.values()) {
                work.arrived *= decay;
                work.placed *= decay;
            }
            contest.accounts.values().removeIf(a -> a.usage * decay < NEGLIGIBLE_WORK_MS && !a.contends(now));
            for (Account account : contest.accounts.values()) {
                account.usage *= decay;
                contest.total += account.usage;
            }
        }
        return 1;
    }
}
