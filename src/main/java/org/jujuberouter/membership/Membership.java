package org.jujuberouter.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Ticker;

/**
 * The membership view of one instance.
 *
 * <p>The view combines two sources. The platform's list contains all instances but lags; heartbeats arrive promptly,
 * but only from the peers that selected this instance. An instance is live while it is listed or was heard from within
 * {@link #SUSPECT_AFTER}. Silence counts only against instances that are expected to send heartbeats here, because with
 * more than {@value HeartbeatPeers#FANOUT} instances most never do; the others are judged by the list alone. A wrong
 * view costs additional requests between instances but cannot violate a bound.
 */
public final class Membership {
    /** Silence after which an instance is suspect: three heartbeat periods. */
    public static final Duration SUSPECT_AFTER = Duration.ofSeconds(3);

    /** Silence after which an instance is dead; equal to the time to live of the lease of an instance. */
    public static final Duration DEAD_AFTER = Duration.ofSeconds(10);

    /** Period at which heartbeats are sent. */
    public static final Duration HEARTBEAT_PERIOD = Duration.ofSeconds(1);

    private static final long SUSPECT_NANOS = SUSPECT_AFTER.toNanos();
    private static final long DEAD_NANOS = DEAD_AFTER.toNanos();

    /** Unlisted instances that are silent for this long are removed, so that replaced instances do not accumulate. */
    private static final long FORGET_NANOS = Duration.ofMinutes(10).toNanos();

    private final Ticker ticker;
    private final InstanceId self;
    private final Map<InstanceId, Entry> entries = new TreeMap<>();
    private Set<InstanceId> live;
    private Set<InstanceId> graphMembers = Set.of();
    private Set<InstanceId> senders = Set.of();
    private Set<InstanceId> peers = Set.of();
    private long liveChangedAt;

    private Membership(Ticker ticker, InstanceId self, FailureDomain domain) {
        this.ticker = ticker;
        this.self = self;
        Entry ownEntry = new Entry(domain, ticker.nanos());
        entries.put(self, ownEntry);
        live = Set.of(self);
        liveChangedAt = ticker.nanos();
    }

    /** Returns a view that contains only the instance itself. */
    public static Membership of(Ticker ticker, InstanceId self, FailureDomain domain) {
        return new Membership(ticker, self, domain);
    }

    /** Applies a list returned by the platform; instances that it no longer contains count as removed from now on. */
    public synchronized void listReceived(Collection<ListedInstance> rows) {
        long now = ticker.nanos();
        Map<InstanceId, ListedInstance> byId = new HashMap<>();
        rows.forEach(row -> byId.put(row.id(), row));
        for (ListedInstance row : rows) {
            Entry entry = entries.computeIfAbsent(row.id(), id -> new Entry(row.domain(), now));
            entry.domain = row.domain();
            entry.address = row.address();
            entry.listed = true;
            entry.listedAsLeaving = row.leaving();
        }
        entries.forEach((id, entry) -> {
            if (entry.listed && !byId.containsKey(id)) {
                entry.listed = false;
                entry.listedAsLeaving = false;
                entry.everRemoved = true;
                entry.removedAt = now;
            }
        });
        refresh(now);
    }

    /** Applies a heartbeat; {@code leaving} is whether the sender reports itself as leaving. */
    public synchronized void heartbeatReceived(
            Incarnation sender, FailureDomain domain, String address, boolean leaving) {
        long now = ticker.nanos();
        Entry entry = entries.computeIfAbsent(sender.instance(), id -> new Entry(domain, now));
        if (sender.number() < entry.incarnation) {
            return;
        }
        entry.incarnation = sender.number();
        entry.domain = domain;
        entry.address = address;
        entry.lastHeartbeatAt = now;
        entry.everHeard = true;
        entry.reportedLeaving = leaving;
        refresh(now);
    }

    /** Sets whether this instance is leaving. */
    public synchronized void setLeaving(boolean leaving) {
        entries.get(self).reportedLeaving = leaving;
        refresh(ticker.nanos());
    }

    /** Applies expired time-outs; to be called at least once per {@link #HEARTBEAT_PERIOD}. */
    public synchronized void tick() {
        refresh(ticker.nanos());
    }

    /** Returns the state of an instance; an unknown instance is dead. */
    public synchronized MemberState state(InstanceId id) {
        Entry entry = entries.get(id);
        return entry == null ? MemberState.DEAD : state(id, entry, ticker.nanos());
    }

    /** Returns all known instances in name order. */
    public synchronized List<Member> members() {
        long now = ticker.nanos();
        List<Member> members = new ArrayList<>(entries.size());
        entries.forEach((id, e) -> members.add(new Member(id, e.domain, e.address, state(id, e, now), e.incarnation)));
        return members;
    }

    /** Returns the instances that may take over endpoints, including this instance unless it is leaving. */
    public synchronized Set<InstanceId> live() {
        return live;
    }

    /** Returns the time since the set of live instances last changed. */
    public synchronized long stableNanos() {
        return ticker.nanos() - liveChangedAt;
    }

    /**
     * Returns the time since the instance was last listed or heard from; 0 while it is listed.
     *
     * <p>An instance that was never listed does not count as absent, because a list that lags may not contain it yet.
     */
    public synchronized long absentNanos(InstanceId id) {
        Entry entry = entries.get(id);
        if (entry == null || entry.listed || !entry.everRemoved || id.equals(self)) {
            return 0;
        }
        return ticker.nanos() - Math.max(entry.removedAt, entry.lastHeartbeatAt);
    }

    /**
     * Returns whether the work of an incarnation has lost its holder: a later incarnation is known, or the instance is
     * dead.
     *
     * <p>An incarnation newer than the known one is not dead, whatever the state of the instance, because that state
     * may still reflect the end of the earlier incarnation.
     */
    public synchronized boolean dead(Incarnation holder) {
        Entry entry = entries.get(holder.instance());
        return entry == null
                || entry.incarnation > holder.number()
                || (entry.incarnation == holder.number()
                        && state(holder.instance(), entry, ticker.nanos()) == MemberState.DEAD);
    }

    /**
     * Returns whether an incarnation has certainly ended: a later incarnation is known, or the instance has been absent
     * for {@link #DEAD_AFTER}. One that is silent but listed may be paused and resume.
     */
    public synchronized boolean isTerminated(Incarnation holder) {
        Entry entry = entries.get(holder.instance());
        return entry != null
                && (entry.incarnation > holder.number()
                        || (entry.incarnation == holder.number() && absentNanos(holder.instance()) >= DEAD_NANOS));
    }

    /** Returns the peers to which this instance sends heartbeats. */
    public synchronized Set<InstanceId> peers() {
        return peers;
    }

    private MemberState state(InstanceId id, Entry entry, long now) {
        if (id.equals(self)) {
            return entry.reportedLeaving ? MemberState.LEAVING : MemberState.LIVE;
        }
        boolean heardRecently = entry.everHeard && now - entry.lastHeartbeatAt < SUSPECT_NANOS;
        long silence = now - Math.max(entry.lastHeartbeatAt, entry.expectedSince);
        if (!entry.listed && !heardRecently && (entry.everRemoved || silence >= DEAD_NANOS)) {
            return MemberState.DEAD;
        }
        boolean expected = senders.contains(id) || !entry.listed;
        if (expected && silence >= DEAD_NANOS) {
            return MemberState.DEAD;
        }
        if (entry.reportedLeaving || entry.listedAsLeaving) {
            return MemberState.LEAVING;
        }
        return expected && silence >= SUSPECT_NANOS ? MemberState.SUSPECT : MemberState.LIVE;
    }

    private void refresh(long now) {
        entries.entrySet()
                .removeIf(e -> !e.getKey().equals(self)
                        && !e.getValue().listed
                        && now - Math.max(e.getValue().removedAt, e.getValue().lastHeartbeatAt) > FORGET_NANOS);
        Set<InstanceId> current = new TreeSet<>();
        Set<InstanceId> reachable = new HashSet<>();
        entries.forEach((id, entry) -> {
            MemberState state = state(id, entry, now);
            if (state == MemberState.LIVE) {
                current.add(id);
            }
            if (entry.listed || state != MemberState.DEAD) {
                reachable.add(id);
            }
        });
        if (!reachable.equals(graphMembers)) {
            graphMembers = Set.copyOf(reachable);
            updateHeartbeatGraph(now);
        }
        if (!current.equals(live)) {
            live = Set.copyOf(current);
            liveChangedAt = now;
        }
    }

    /**
     * Recomputes the heartbeat graph; the silence of an instance that is newly expected to send is counted from now.
     */
    private void updateHeartbeatGraph(long now) {
        peers = HeartbeatPeers.select(self, graphMembers);
        Set<InstanceId> before = senders;
        senders = HeartbeatPeers.senders(self, graphMembers);
        for (InstanceId id : senders) {
            if (!before.contains(id)) {
                entries.get(id).expectedSince = now;
            }
        }
    }

    /**
     * An entry of the platform's list.
     *
     * @param id the instance
     * @param domain its failure domain
     * @param address host and port of its peer listener
     * @param leaving whether it is listed as leaving
     */
    public record ListedInstance(InstanceId id, FailureDomain domain, String address, boolean leaving) {}

    private static final class Entry {
        private FailureDomain domain;
        private String address = "";
        private boolean listed;
        private boolean listedAsLeaving;
        private boolean reportedLeaving;
        private boolean everHeard;
        private boolean everRemoved;
        private long lastHeartbeatAt;
        private long expectedSince;
        private long removedAt;
        private long incarnation;

        private Entry(FailureDomain domain, long now) {
            this.domain = domain;
            this.lastHeartbeatAt = now;
            this.expectedSince = now;
            this.removedAt = now;
        }
    }
}
