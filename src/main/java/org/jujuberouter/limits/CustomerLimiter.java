package org.jujuberouter.limits;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.limits.DemandDigest.Entry;
import org.jujuberouter.misc.Ticker;

/**
 * Enforces the limits of customers.
 *
 * <p>Each instance enforces its {@linkplain LimitShares share} of each limit on its own. Heartbeats carry the demand
 * from which the shares are computed. Summed over all instances, a customer gets in any period T at most
 *
 * <ul>
 *   <li>{@code requestsPerSecond x (T + 2 s)} plus one request per instance,
 *   <li>{@code tokensPerSecond x (T + 2 s)} plus one request per instance, since a bucket admits a request in full
 *       while its balance is positive,
 *   <li>in addition, for each member that has joined and is not known to all others yet, a quarter of the limit divided
 *       by the number of instances, and the burst of its first bucket.
 * </ul>
 *
 * <p>All methods may be called by any thread.
 */
public final class CustomerLimiter {
    private static final double MIN_TOKEN_BALANCE = 1;
    private static final Duration LONG_PROMPT_RETRY_AFTER = Duration.ofSeconds(DemandHistory.SIZE);
    private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(60);
    private static final double NANOS_PER_SECOND = 1e9;

    private final Ticker ticker;
    private final LimitShares shares;
    private final Map<LimitKey, CustomerUsage> usages = new HashMap<>();
    private LimitTree tree = LimitTree.ofRoot(Limits.inherited());
    private long lastDigestNanos;

    private CustomerLimiter(InstanceId self, Ticker ticker) {
        this.ticker = ticker;
        this.shares = new LimitShares(self);
        this.lastDigestNanos = ticker.nanos();
    }

    /** Returns a limiter without limits. */
    public static CustomerLimiter of(InstanceId self, Ticker ticker) {
        return new CustomerLimiter(self, ticker);
    }

    /** Replaces the limits. */
    public synchronized void setLimits(LimitTree newTree) {
        refillAll(ticker.nanos());
        tree = newTree;
    }

    /** Sets the live instances. */
    public synchronized void setMembers(Set<InstanceId> members) {
        refillAll(ticker.nanos());
        shares.setMembers(members);
    }

    /** Records the demand from a heartbeat of a peer. */
    public synchronized void receive(InstanceId peer, DemandDigest digest) {
        if (shares.splitsByDemand()) {
            refillAll(ticker.nanos());
            shares.receive(peer, digest);
        }
    }

    /** Returns the demand for the next heartbeat; must be called exactly once per heartbeat. */
    public synchronized DemandDigest nextDigest() {
        long now = ticker.nanos();
        refillAll(now);
        long interval = now - lastDigestNanos;
        lastDigestNanos = now;
        List<Entry> entries = new ArrayList<>();
        usages.forEach((key, usage) -> entries.add(usage.digest(key, interval)));
        DemandDigest digest =
                shares.splitsByDemand() ? new DemandDigest(largestEntries(entries)) : DemandDigest.empty();
        shares.recordOwn(digest);
        usages.values().removeIf(CustomerUsage::isEvictable);
        return digest;
    }

    /** Admits or refuses a request; the tokens are those of the prompt and of the longest possible answer. */
    public synchronized LimitDecision admit(LimitKey key, long tokens, boolean isLong) {
        long now = ticker.nanos();
        Limits limits = tree.resolve(key);
        double requestRate = requestRate(key, limits);
        double tokenRate = tokenRate(key, limits);
        CustomerUsage usage = usages.computeIfAbsent(
                key, k -> new CustomerUsage(TokenBucket.full(requestRate, now), TokenBucket.full(tokenRate, now)));
        usage.recordArrival(tokens);
        usage.requests.refill(requestRate, now);
        usage.tokens.refill(tokenRate, now);
        if (!usage.requests.allows(1)) {
            return refused(LimitName.REQUESTS, usage.requests.secondsUntil(1, requestRate));
        }
        if (!usage.tokens.allows(MIN_TOKEN_BALANCE)) {
            return refused(LimitName.TOKENS, usage.tokens.secondsUntil(MIN_TOKEN_BALANCE, tokenRate));
        }
        boolean countsAsLong = isLong && limits.longPrompts().isPresent();
        if (countsAsLong && !shares.mayStartLong(key, limits.longPrompts().get(), usage.activeLong)) {
            usage.recordRefusedLong();
            return new LimitDecision.Refused(LimitName.LONG_PROMPTS, LONG_PROMPT_RETRY_AFTER);
        }
        usage.requests.charge(1);
        usage.tokens.charge(tokens);
        if (countsAsLong) {
            usage.activeLong++;
        }
        return new LimitDecision.Admitted(new DefaultLimitReservation(usage, countsAsLong));
    }

    private double requestRate(LimitKey key, Limits limits) {
        double limit = limits.requestsPerSecond().orElse(Double.MAX_VALUE / TokenBucket.BURST_SECONDS);
        return limit * shares.shareOf(key, Entry::requestsPerSecond);
    }

    private double tokenRate(LimitKey key, Limits limits) {
        double limit = limits.tokensPerSecond().orElse(Double.MAX_VALUE / TokenBucket.BURST_SECONDS);
        return limit * shares.shareOf(key, Entry::tokensPerSecond);
    }

    /** Refills all buckets at the current rates, so that a greater share does not apply retroactively. */
    private void refillAll(long now) {
        usages.forEach((key, usage) -> {
            Limits limits = tree.resolve(key);
            usage.requests.refill(requestRate(key, limits), now);
            usage.tokens.refill(tokenRate(key, limits), now);
        });
    }

    /** Sorts long prompts first, because the slot of a running one that is not in the digest could be used twice. */
    private static List<Entry> largestEntries(List<Entry> entries) {
        return entries.stream()
                .filter(e -> e.requestsPerSecond() > 0 || e.activeLong() > 0 || e.refusedLong() > 0)
                .sorted(Comparator.comparingInt((Entry e) -> e.activeLong() + e.refusedLong())
                        .thenComparingDouble(Entry::tokensPerSecond)
                        .reversed())
                .limit(DemandDigest.MAX_ENTRIES)
                .toList();
    }

    private static LimitDecision refused(LimitName limit, double seconds) {
        double bounded = Math.min(MAX_RETRY_AFTER.toSeconds(), seconds);
        return new LimitDecision.Refused(limit, Duration.ofNanos((long) (bounded * NANOS_PER_SECOND)));
    }

    private final class DefaultLimitReservation implements LimitReservation {
        private final CustomerUsage usage;
        private final boolean countsAsLong;
        private boolean released;

        private DefaultLimitReservation(CustomerUsage usage, boolean countsAsLong) {
            this.usage = usage;
            this.countsAsLong = countsAsLong;
        }

        @Override
        public void release(long unusedTokens) {
            synchronized (CustomerLimiter.this) {
                if (released) {
                    return;
                }
                released = true;
                usage.tokens.charge(-unusedTokens);
                if (countsAsLong) {
                    usage.activeLong--;
                }
            }
        }
    }
}
