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
 * Keeps customers within their limits.
 *
 * <p>Each instance enforces its {@linkplain LimitShares share} of each limit by itself. The heartbeats carry the demand
 * from which the shares follow. In sum over all instances and any time T, a customer gets at most
 *
 * <ul>
 *   <li>{@code requestsPerSecond x (T + 2 s)} plus one request an instance,
 *   <li>{@code tokensPerSecond x (T + 2 s)} plus one request an instance, since a bucket may go into debt once,
 *   <li>a quarter of the limit divided by the number of instances more for each member that has joined and is not known
 *       to all yet, and the burst of its first bucket.
 * </ul>
 *
 * <p>All methods may be called by any thread.
 */
public final class CustomerLimiter {
    private static final double LEAST_TOKENS = 1;
    private static final Duration LONG_RETRY = Duration.ofSeconds(PeerDemand.HISTORY);
    private static final Duration MAX_RETRY = Duration.ofSeconds(60);
    private static final double NANOS_PER_SECOND = 1e9;

    private final Ticker ticker;
    private final LimitShares shares;
    private final Map<LimitKey, CustomerUse> uses = new HashMap<>();
    private LimitTree tree = LimitTree.ofRoot(Limits.inherited());
    private long lastDigestNanos;

    private CustomerLimiter(InstanceId self, Ticker ticker) {
        this.ticker = ticker;
        this.shares = new LimitShares(self);
        this.lastDigestNanos = ticker.nanos();
    }

    /** Returns a keeper without limits. */
    public static CustomerLimiter of(InstanceId self, Ticker ticker) {
        return new CustomerLimiter(self, ticker);
    }

    /** Puts limits in force. */
    public synchronized void setLimits(LimitTree newTree) {
        settle(ticker.nanos());
        tree = newTree;
    }

    /** Sets the instances that are alive. */
    public synchronized void setMembers(Set<InstanceId> members) {
        settle(ticker.nanos());
        shares.setMembers(members);
    }

    /** Takes the demand from a peer's heartbeat. */
    public synchronized void receive(InstanceId peer, DemandDigest digest) {
        if (shares.announcesDemand()) {
            settle(ticker.nanos());
            shares.receive(peer, digest);
        }
    }

    /** Returns the demand for the next heartbeat; must be called once for each heartbeat. */
    public synchronized DemandDigest nextDigest() {
        long now = ticker.nanos();
        settle(now);
        long interval = now - lastDigestNanos;
        lastDigestNanos = now;
        List<Entry> entries = new ArrayList<>();
        uses.forEach((key, use) -> entries.add(use.digest(key, interval)));
        DemandDigest digest = shares.announcesDemand() ? new DemandDigest(greatest(entries)) : DemandDigest.empty();
        shares.announced(digest);
        uses.values().removeIf(CustomerUse::mayBeForgotten);
        return digest;
    }

    /** Admits or refuses a request; the tokens are those of the prompt and the longest answer. */
    public synchronized LimitDecision admit(LimitKey key, long tokens, boolean isLong) {
        long now = ticker.nanos();
        Limits limits = tree.resolve(key);
        double requestRate = requestRate(key, limits);
        double tokenRate = tokenRate(key, limits);
        CustomerUse use = uses.computeIfAbsent(
                key, k -> new CustomerUse(TokenBucket.full(requestRate, now), TokenBucket.full(tokenRate, now)));
        use.arrived(tokens);
        use.requests.refill(requestRate, now);
        use.tokens.refill(tokenRate, now);
        if (!use.requests.allows(1)) {
            return refused(LimitName.REQUESTS, use.requests.secondsUntil(1, requestRate));
        }
        if (!use.tokens.allows(LEAST_TOKENS)) {
            return refused(LimitName.TOKENS, use.tokens.secondsUntil(LEAST_TOKENS, tokenRate));
        }
        boolean counted = isLong && limits.longPrompts().isPresent();
        if (counted && !shares.mayStartLong(key, limits.longPrompts().get(), use.activeLong)) {
            use.refusedLong();
            return new LimitDecision.Refused(LimitName.LONG_PROMPTS, LONG_RETRY);
        }
        use.requests.charge(1);
        use.tokens.charge(tokens);
        if (counted) {
            use.activeLong++;
        }
        return new LimitDecision.Admitted(new DefaultLimitUse(use, counted));
    }

    private double requestRate(LimitKey key, Limits limits) {
        double limit = limits.requestsPerSecond().orElse(Double.MAX_VALUE / TokenBucket.BURST_SECONDS);
        return limit * shares.shareOf(key, Entry::requestsPerSecond);
    }

    private double tokenRate(LimitKey key, Limits limits) {
        double limit = limits.tokensPerSecond().orElse(Double.MAX_VALUE / TokenBucket.BURST_SECONDS);
        return limit * shares.shareOf(key, Entry::tokensPerSecond);
    }

    /** Refills at the rates in force so far, so that a greater share does not apply to the time before it. */
    private void settle(long now) {
        uses.forEach((key, use) -> {
            Limits limits = tree.resolve(key);
            use.requests.refill(requestRate(key, limits), now);
            use.tokens.refill(tokenRate(key, limits), now);
        });
    }

    /** Long prompts come first, because a running one that is not announced could be admitted twice. */
    private static List<Entry> greatest(List<Entry> entries) {
        return entries.stream()
                .filter(e -> e.requestsPerSecond() > 0 || e.activeLong() > 0 || e.refusedLong() > 0)
                .sorted(Comparator.comparingInt((Entry e) -> e.activeLong() + e.refusedLong())
                        .thenComparingDouble(Entry::tokensPerSecond)
                        .reversed())
                .limit(DemandDigest.MAX_ENTRIES)
                .toList();
    }

    private static LimitDecision refused(LimitName limit, double seconds) {
        double bounded = Math.min(MAX_RETRY.toSeconds(), seconds);
        return new LimitDecision.Refused(limit, Duration.ofNanos((long) (bounded * NANOS_PER_SECOND)));
    }

    private final class DefaultLimitUse implements LimitReservation {
        private final CustomerUse use;
        private final boolean counted;
        private boolean ended;

        private DefaultLimitUse(CustomerUse use, boolean counted) {
            this.use = use;
            this.counted = counted;
        }

        @Override
        public void release(long unusedTokens) {
            synchronized (CustomerLimiter.this) {
                if (ended) {
                    return;
                }
                ended = true;
                use.tokens.charge(-unusedTokens);
                if (counted) {
                    use.activeLong--;
                }
            }
        }
    }
}
