package org.jujuberouter.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.RendezvousHash;
import org.jujuberouter.misc.Ticker;

/**
 * Bounds the instances of a group that are unready at once: one instance of the group grants the time.
 *
 * <p>All know it from the list of instances. A grant ends by itself, and at the asking instance before it does here, so
 * lost and late messages do not exceed the bound.
 */
public final class UnreadyGrants {
    /** Salt of the ranking whose first instance grants. */
    private static final String RANKING = "unready";

    /** One of so many instances may be unready. */
    private static final int INSTANCES_PER_GRANT = 6;

    /** Longest grant; it covers the two probes that take an instance out and 3 s without new connections. */
    public static final long MAX_GRANT_MS = 5_000;

    /**
     * Time after which an instance that has become the first of the ranking grants: 5 s until the grants of the former
     * one have ended, and 5 s for instances that still ask that one, whose view of the store is at most 3.8 s old.
     */
    private static final long TAKEOVER_MS = 10_000;

    private final InstanceId self;
    private final Ticker ticker;
    private final Map<InstanceId, Long> unreadyUntil = new HashMap<>();
    private Set<InstanceId> group = Set.of();
    private Optional<InstanceId> granting = Optional.empty();
    private long grantingSince;
    private long granted;

    private UnreadyGrants(InstanceId self, Ticker ticker) {
        this.self = self;
        this.ticker = ticker;
    }

    /** Returns the grants of an instance that knows of no group yet. */
    public static UnreadyGrants of(InstanceId self, Ticker ticker) {
        return new UnreadyGrants(self, ticker);
    }

    /** Sets the listed instances of the group, including this one. */
    public void setGroup(Set<InstanceId> instances) {
        if (!group.isEmpty()) {
            // The granting instance of another group may have granted something to those that come from there.
            instances.stream().filter(i -> !group.contains(i)).forEach(i -> recordUnready(i, TAKEOVER_MS));
        }
        group = Set.copyOf(instances);
        Optional<InstanceId> first = RendezvousHash.select(RANKING, group);
        if (!first.equals(granting)) {
            granting = first;
            grantingSince = ticker.nanos();
        }
    }

    /** Returns the instance that grants; empty while the group is not known. */
    public Optional<InstanceId> granting() {
        return granting;
    }

    /** Records that an instance is not ready for the given time, whatever is granted. */
    public void recordUnready(InstanceId instance, long ms) {
        unreadyUntil.put(instance, ticker.nanos() + TimeUnit.MILLISECONDS.toNanos(ms));
    }

    /**
     * Returns for how long an instance may be unready, in milliseconds; 0 if it may not.
     *
     * @param domains the failure domains of instances, as far as they are known
     * @param connected whether an instance is known to be alive
     */
    public long grant(
            InstanceId asking, long wantedMs, Map<InstanceId, FailureDomain> domains, Predicate<InstanceId> connected) {
        boolean grants = granting.filter(self::equals).isPresent()
                && ticker.nanos() - grantingSince >= TimeUnit.MILLISECONDS.toNanos(TAKEOVER_MS);
        FailureDomain domain = domains.get(asking);
        if (!grants || wantedMs <= 0 || domain == null || !group.contains(asking)) {
            return 0;
        }
        unreadyUntil.values().removeIf(until -> until <= ticker.nanos());
        Set<InstanceId> alive = new HashSet<>(group);
        alive.removeIf(i -> !i.equals(self) && !connected.test(i));
        Set<InstanceId> unready = new HashSet<>(unreadyUntil.keySet());
        unready.add(asking);
        boolean withinBound = unready.size() <= alive.size() / INSTANCES_PER_GRANT;
        boolean leavesDomain = alive.stream().anyMatch(i -> !unready.contains(i) && domain.equals(domains.get(i)));
        if (!withinBound || !leavesDomain) {
            return 0;
        }
        long ms = Math.min(wantedMs, MAX_GRANT_MS);
        recordUnready(asking, ms);
        granted++;
        return ms;
    }

    /** Returns the number of grants. */
    public long granted() {
        return granted;
    }
}
