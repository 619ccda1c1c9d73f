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
 * The view that one instance has of all.
 *
 * <p>Two sources are combined. The platform's list names instances but lags; heartbeats are prompt but reach an instance
 * only from the peers that selected it. An instance is live while the list shows it or while it was heard from within
 * {@link #SUSPECT_AFTER}. Silence counts only against instances that are expected to send here, because with more than
 * {@value HeartbeatPeers#FANOUT} instances most never do; the others are judged by the list. A wrong view costs extra
 * questions and can break no bound.
 */
public final class Membership {
    /** Silence after which an instance is suspect: three missed heartbeats. */
    public static final Duration SUSPECT_AFTER = Duration.ofSeconds(3);

    /** Silence after which an instance is dead; equal to the time to live of an instance lease. */
    public static final Duration DEAD_AFTER = Duration.ofSeconds(10);

    /** The period at which heartbeats are sent. */
    public static final Duration HEARTBEAT_PERIOD = Duration.ofSeconds(1);

    private static final long SUSPECT_NANOS = SUSPECT_AFTER.toNanos();
    private static final long DEAD_NANOS = DEAD_AFTER.toNanos();

    /** Members that are dead for this long are forgotten, so that replaced instances do not accumulate. */
    private static final long FORGET_NANOS = Duration.ofMinutes(10).toNanos();

    private final Ticker ticker;
    private final InstanceId self;
    private final Map<InstanceId, Entry> entries = new TreeMap<>();
    private Set<InstanceId> live;
    private Set<InstanceId> inView = Set.of();
    private Set<InstanceId> senders = Set.of();
    private Set<InstanceId> peers = Set.of();
    private long liveSince;

    private Membership(Ticker ticker, InstanceId self, FailureDomain domain) {
        this.ticker = ticker;
        this.self = self;
        Entry own = new Entry(domain, ticker.nanos());
        entries.put(self, own);
        live = Set.of(self);
        liveSince = ticker.nanos();
    }

    /** Returns a view that knows only the instance itself. */
    public static Membership of(Ticker ticker, InstanceId self, FailureDomain domain) {
        return new Membership(ticker, self, domain);
    }

    /** Takes in a list that the platform returned; instances it omits count as dropped from now on. */
    public synchronized void listReceived(Collection<ListedInstance> rows) {
        long now = ticker.nanos();
        Map<InstanceId, ListedInstance> byId = new HashMap<>();
        rows.forEach(row -> byId.put(row.id(), row));
        for (ListedInstance row : rows) {
            Entry entry = entries.computeIfAbsent(row.id(), id -> new Entry(row.domain(), now));
            entry.domain = row.domain();
            entry.address = row.address();
            entry.listed = true;
            entry.listedLeaving = row.leaving();
        }
        entries.forEach((id, entry) -> {
            if (entry.listed && !byId.containsKey(id)) {
                entry.listed = false;
                entry.listedLeaving = false;
                entry.dropped = true;
                entry.droppedAt = now;
            }
        });
        refresh(now);
    }

    /** Takes in a heartbeat; {@code leaving} is the sender's own word that it stops. */
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
        entry.heardAt = now;
        entry.heardEver = true;
        entry.saysLeaving = leaving;
        refresh(now);
    }

    /** Marks the instance itself as leaving or not. */
    public synchronized void setLeaving(boolean leaving) {
        entries.get(self).saysLeaving = leaving;
        refresh(ticker.nanos());
    }

    /** Lets time take effect; to be called every {@link #HEARTBEAT_PERIOD} or more often. */
    public synchronized void tick() {
        refresh(ticker.nanos());
    }

    /** Returns the state of one instance; one that was never seen is dead. */
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

    /** Returns the instances that may take over endpoints; contains this instance unless it is leaving. */
    public synchronized Set<InstanceId> live() {
        return live;
    }

    /** Returns how long the set of live instances has been the same. */
    public synchronized long stableNanos() {
        return ticker.nanos() - liveSince;
    }

    /**
     * Returns for how long the instance has been neither listed nor heard from; 0 while it is either.
     *
     * <p>An instance that no list has shown yet is not gone, because a list that lags may not show it yet.
     */
    public synchronized long absentNanos(InstanceId id) {
        Entry entry = entries.get(id);
        if (entry == null || entry.listed || !entry.dropped || id.equals(self)) {
            return 0;
        }
        return ticker.nanos() - Math.max(entry.droppedAt, entry.heardAt);
    }

    /**
     * Tells whether work of this run of a process has lost its holder: a later run is known, or the instance is dead.
     *
     * <p>A run that is newer than the one known here is not dead, whatever the view says of the instance: the list may still
     * show the end of the earlier run.
     */
    public synchronized boolean dead(Incarnation holder) {
        Entry entry = entries.get(holder.instance());
        return entry == null
                || entry.incarnation > holder.number()
                || (entry.incarnation == holder.number()
                        && state(holder.instance(), entry, ticker.nanos()) == MemberState.DEAD);
    }

    /**
     * Tells whether this run of a process has certainly ended: a later run is known, or the list has shown the instance gone
     * for {@link #DEAD_AFTER}. A run that is only silent may be paused and go on.
     */
    public synchronized boolean gone(Incarnation holder) {
        Entry entry = entries.get(holder.instance());
        return entry != null
                && (entry.incarnation > holder.number()
                        || (entry.incarnation == holder.number() && absentNanos(holder.instance()) >= DEAD_NANOS));
    }

    /** Returns the peers that get this instance's heartbeats. */
    public synchronized Set<InstanceId> peers() {
        return peers;
    }

    private MemberState state(InstanceId id, Entry entry, long now) {
        if (id.equals(self)) {
            return entry.saysLeaving ? MemberState.LEAVING : MemberState.LIVE;
        }
        boolean heard = entry.heardEver && now - entry.heardAt < SUSPECT_NANOS;
        long silence = now - Math.max(entry.heardAt, entry.expectedSince);
        if (!entry.listed && !heard && (entry.dropped || silence >= DEAD_NANOS)) {
            return MemberState.DEAD;
        }
        boolean expected = senders.contains(id) || !entry.listed;
        if (expected && silence >= DEAD_NANOS) {
            return MemberState.DEAD;
        }
        if (entry.saysLeaving || entry.listedLeaving) {
            return MemberState.LEAVING;
        }
        return expected && silence >= SUSPECT_NANOS ? MemberState.SUSPECT : MemberState.LIVE;
    }

    private void refresh(long now) {
        entries.entrySet()
                .removeIf(e -> !e.getKey().equals(self)
                        && !e.getValue().listed
                        && now - Math.max(e.getValue().droppedAt, e.getValue().heardAt) > FORGET_NANOS);
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
        if (!reachable.equals(inView)) {
            inView = Set.copyOf(reachable);
            expectFrom(now);
        }
        if (!current.equals(live)) {
            live = Set.copyOf(current);
            liveSince = now;
        }
    }

    /** Recomputes the heartbeat graph; an instance that is newly expected to send gets a full period to do so. */
    private void expectFrom(long now) {
        peers = HeartbeatPeers.select(self, inView);
        Set<InstanceId> before = senders;
        senders = HeartbeatPeers.senders(self, inView);
        for (InstanceId id : senders) {
            if (!before.contains(id)) {
                entries.get(id).expectedSince = now;
            }
        }
    }

    /**
     * One row of the platform's list.
     *
     * @param id the instance
     * @param domain its failure domain
     * @param address host and port of its peer listener
     * @param leaving whether the list shows it as leaving
     */
    public record ListedInstance(InstanceId id, FailureDomain domain, String address, boolean leaving) {}

    private static final class Entry {
        private FailureDomain domain;
        private String address = "";
        private boolean listed;
        private boolean listedLeaving;
        private boolean saysLeaving;
        private boolean heardEver;
        private boolean dropped;
        private long heardAt;
        private long expectedSince;
        private long droppedAt;
        private long incarnation;

        private Entry(FailureDomain domain, long now) {
            this.domain = domain;
            this.heardAt = now;
            this.expectedSince = now;
            this.droppedAt = now;
        }
    }
}
