package org.jujuberouter.ownership;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.RendezvousHash;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;
import org.jujuberouter.store.WriteOutcome;

/**
 * Claims and releases endpoints for this instance, which admits requests for those that it owns.
 *
 * <p>The live candidate with the highest rendezvous hash claims an endpoint by compare-and-swap after its membership
 * view has been stable, and only if the registration of the current owner has disappeared from the store. An owner that
 * did not release the endpoint becomes a predecessor in the record, and its lapsed share stays reserved until it is
 * cleared. The record is written only on a change. A write without a reply leaves the state uncertain, and the next
 * step reads it back; until then the owner uses the smaller of the two possible shares.
 *
 * <p>{@link #status} is called for every permit; it reads two immutable values and never waits for the store.
 */
public final class Ownership {
    /** Period at which {@link #tick} should be called. */
    public static final Duration TICK_PERIOD = Duration.ofMillis(250);

    /** Time for which the set of live instances must be unchanged before a claim: one suspicion period. */
    static final Duration STABLE_BEFORE_CLAIM = Duration.ofSeconds(3);

    /** Time for which another instance must be preferred before a handover; a flapping instance moves no endpoints. */
    static final Duration STABLE_BEFORE_HANDOVER = Duration.ofSeconds(10);

    /**
     * Time for which a predecessor must be absent from the list before it is cleared, counted from when the record
     * first contained it.
     *
     * <p>An earlier absence may be the end of a previous run of the same instance.
     */
    static final Duration ABSENT_BEFORE_CLEAR = Duration.ofSeconds(10);

    /**
     * Number of predecessors from which an uncleared owner is not replaced: the share left is a 256th, and records
     * nest.
     */
    static final int MAX_PREDECESSORS = 4;

    private static final long RETRY_NANOS = Duration.ofSeconds(1).toNanos();
    private static final long RECHECK_NANOS = Duration.ofSeconds(2).toNanos();
    private static final Logger LOG = System.getLogger(Ownership.class.getName());

    private final Ticker ticker;
    private final PlatformStore store;
    private final Registration registration;
    private final MemberView members;
    private final Map<EndpointId, OwnerState> states = new HashMap<>();
    private final Map<EndpointId, OwnedEndpoint> owned = new ConcurrentHashMap<>();
    private final Map<EndpointId, InstanceId> hints = new ConcurrentHashMap<>();
    private volatile Map<EndpointId, InstanceId> preferredOwners = Map.of();
    private final List<ReleasedEndpoint> released = new ArrayList<>();
    private Set<EndpointId> regionEndpoints = Set.of();
    private long membersChangedAt = Long.MIN_VALUE;
    private long storeRetryAt;
    private boolean stopping;

    private Ownership(Ticker ticker, PlatformStore store, Registration registration, MemberView members) {
        this.ticker = ticker;
        this.store = store;
        this.registration = registration;
        this.members = members;
        this.storeRetryAt = ticker.nanos();
    }

    /** Returns an ownership without endpoints. */
    public static Ownership of(Ticker ticker, PlatformStore store, Registration registration, MemberView members) {
        return new Ownership(ticker, store, registration, members);
    }

    /** Returns the current status of the endpoint; cheap enough to call for every permit. */
    public OwnershipStatus status(EndpointId endpoint) {
        OwnedEndpoint ownedEndpoint = owned.get(endpoint);
        if (ownedEndpoint != null) {
            Registration.LeaseState lease = registration.leaseState();
            if (ownedEndpoint.owner().equals(lease.incarnation()) && !registration.suspended()) {
                return new OwnershipStatus.Owner(
                        ownedEndpoint.fence(), !lease.validAt(ticker.nanos()), ownedEndpoint.predecessors());
            }
        }
        InstanceId hint = hints.getOrDefault(endpoint, preferredOwners.get(endpoint));
        return new OwnershipStatus.NotOwner(Optional.ofNullable(hint).filter(h -> !h.equals(registration.self())));
    }

    /** Returns the endpoints for which this instance currently admits requests. */
    public Set<EndpointId> owned() {
        return Set.copyOf(owned.keySet());
    }

    /**
     * Executes all steps that are due.
     *
     * @param endpoints the endpoints of this instance's region
     * @return the endpoints released since the last call
     */
    public synchronized List<ReleasedEndpoint> tick(Collection<EndpointId> endpoints) {
        refreshPreferredOwners(endpoints);
        long now = ticker.nanos();
        if (now - storeRetryAt >= 0) {
            try {
                Set<EndpointId> relevant = new HashSet<>(states.keySet());
                preferredOwners.forEach((endpoint, preferred) -> {
                    if (preferred.equals(registration.self())) {
                        relevant.add(endpoint);
                    }
                });
                for (EndpointId endpoint : relevant) {
                    step(endpoint);
                }
            } catch (PlatformException e) {
                storeRetryAt = now + RETRY_NANOS;
                LOG.log(Level.DEBUG, "[ownership] platform store unavailable: {0}", e.getMessage());
            }
        }
        List<ReleasedEndpoint> result = List.copyOf(released);
        released.clear();
        return result;
    }

    /** Makes the next {@link #tick} read the owner record; called when a handover message for the endpoint arrives. */
    public synchronized void onHandover(EndpointId endpoint) {
        OwnerState state = states.computeIfAbsent(endpoint, e -> new OwnerState());
        state.uncertain = true;
        state.nextStepAt = ticker.nanos();
    }

    /**
     * Records the owner of an endpoint that a refusal named.
     *
     * @param owner the instance to ask next; empty if the refusing instance knows none, in which case the instance that
     *     rendezvous hashing prefers is asked
     */
    public void hint(EndpointId endpoint, Optional<InstanceId> owner) {
        if (owner.isEmpty() || owner.get().equals(registration.self())) {
            hints.remove(endpoint);
        } else {
            hints.put(endpoint, owner.get());
        }
    }

    /** Starts a planned stop: the following ticks release all endpoints and claim none. */
    public synchronized void stop() {
        stopping = true;
        long now = ticker.nanos();
        states.values().forEach(state -> state.nextStepAt = now);
    }

    private void refreshPreferredOwners(Collection<EndpointId> endpoints) {
        long changedAt = ticker.nanos() - members.stableNanos();
        Set<EndpointId> current = Set.copyOf(endpoints);
        if (changedAt == membersChangedAt && regionEndpoints.equals(current)) {
            return;
        }
        membersChangedAt = changedAt;
        regionEndpoints = current;
        Map<EndpointId, InstanceId> next = new HashMap<>();
        for (EndpointId endpoint : current) {
            RendezvousHash.select(endpoint.value(), members.candidates(endpoint))
                    .ifPresent(preferred -> next.put(endpoint, preferred));
        }
        preferredOwners = Map.copyOf(next);
        // Hints from before the change may name an instance that has left.
        hints.clear();
    }

    private void step(EndpointId endpoint) throws PlatformException {
        long now = ticker.nanos();
        OwnerState state = states.computeIfAbsent(endpoint, e -> {
            OwnerState newState = new OwnerState();
            newState.nextStepAt = now;
            return newState;
        });
        Incarnation self = registration.incarnation().orElse(null);
        updatePreferredOwner(endpoint, state, now);
        if (now - state.nextStepAt < 0 || self == null) {
            return;
        }
        state.nextStepAt = now + RETRY_NANOS;
        if (state.uncertain) {
            state.update(store.read(key(endpoint)));
            publish(endpoint, state, self);
        }
        if (state.ownedBy(self)) {
            stepAsOwner(endpoint, state, self, now);
        } else if (state.releasing) {
            finishRelease(endpoint, state);
        } else {
            tryClaim(endpoint, state, self);
        }
    }

    private void updatePreferredOwner(EndpointId endpoint, OwnerState state, long now) {
        InstanceId preferred = preferredOwners.get(endpoint);
        InstanceId better = registration.self().equals(preferred) ? null : preferred;
        if (better == null || !better.equals(state.preferredOwner)) {
            state.preferredOwner = better;
            state.preferredSince = now;
        }
    }

    private void stepAsOwner(EndpointId endpoint, OwnerState state, Incarnation self, long now)
            throws PlatformException {
        boolean handoverDue =
                state.preferredOwner != null && now - state.preferredSince >= STABLE_BEFORE_HANDOVER.toNanos();
        if (stopping || handoverDue || state.releasing || !regionEndpoints.contains(endpoint)) {
            if (!state.releasing) {
                // Granting stops before the release is written, so this read must first prove that the store is
                // reachable.
                state.update(store.read(key(endpoint)));
                state.releasing = true;
                state.releasedFence = state.lastRecord == null ? 0 : state.lastRecord.fence();
            }
            owned.remove(endpoint);
            if (!state.ownedBy(self)) {
                finishRelease(endpoint, state);
                return;
            }
            write(endpoint, state, state.lastRecord.released(), self);
            if (!state.uncertain) {
                finishRelease(endpoint, state);
            }
            return;
        }
        List<Predecessor> cleared = new ArrayList<>();
        for (Predecessor predecessor : state.predecessors()) {
            if (hasNewerRegistration(predecessor.owner())
                    || (now - state.predecessorsSince >= ABSENT_BEFORE_CLEAR.toNanos()
                            && members.absentNanos(predecessor.owner().instance()) >= ABSENT_BEFORE_CLEAR.toNanos())) {
                cleared.add(predecessor);
            }
        }
        if (!cleared.isEmpty()) {
            LOG.log(Level.INFO, "[ownership] cleared {0} predecessor(s) of endpoint {1}", cleared.size(), endpoint);
            write(endpoint, state, state.lastRecord.withoutPredecessors(cleared), self);
        }
    }

    private void finishRelease(EndpointId endpoint, OwnerState state) {
        released.add(new ReleasedEndpoint(endpoint, state.releasedFence, state.preferredOwner));
        LOG.log(Level.INFO, "[ownership] released endpoint {0} to {1}", endpoint, state.preferredOwner);
        states.remove(endpoint);
        hint(endpoint, Optional.ofNullable(state.preferredOwner));
    }

    /** Claims the endpoint if this instance is preferred and the owner released it or has no registration any more. */
    private void tryClaim(EndpointId endpoint, OwnerState state, Incarnation self) throws PlatformException {
        if (stopping || !registration.self().equals(preferredOwners.get(endpoint))) {
            states.remove(endpoint);
            return;
        }
        if (members.stableNanos() < STABLE_BEFORE_CLAIM.toNanos() || !registration.valid()) {
            state.nextStepAt = ticker.nanos();
            return;
        }
        state.nextStepAt = ticker.nanos() + RECHECK_NANOS;
        state.update(store.read(key(endpoint)));
        publish(endpoint, state, self);
        if (state.lastRecord == null) {
            write(endpoint, state, OwnerRecord.first(self), self);
            return;
        }
        Incarnation owner = state.lastRecord.currentOwner().orElse(null);
        boolean sameInstance = owner != null && owner.instance().equals(self.instance());
        if (owner != null && !sameInstance && registrationRevision(owner.instance()) == owner.number()) {
            return;
        }
        boolean ownerCleared = owner == null || sameInstance || hasNewerRegistration(owner);
        if (ownerCleared || state.predecessors().size() < MAX_PREDECESSORS) {
            LOG.log(
                    Level.INFO,
                    "[ownership] claiming endpoint {0}; previous owner: {1}, cleared: {2}",
                    endpoint,
                    owner,
                    ownerCleared);
            write(endpoint, state, state.lastRecord.claimedBy(self, ownerCleared), self);
        }
    }

    /** Returns whether the instance has registered a newer incarnation, after which the earlier one grants nothing. */
    private boolean hasNewerRegistration(Incarnation earlier) throws PlatformException {
        return registrationRevision(earlier.instance()) > earlier.number();
    }

    private long registrationRevision(InstanceId instance) throws PlatformException {
        return store.read("instance/" + instance).map(StoreEntry::revision).orElse(0L);
    }

    private void write(EndpointId endpoint, OwnerState state, OwnerRecord next, Incarnation self)
            throws PlatformException {
        long before = state.revision;
        switch (store.compareAndSet(key(endpoint), before, OwnerCodec.encode(next), null)) {
            case WriteOutcome.Done done -> {
                state.lastRecord = next;
                state.revision = done.revision();
                state.uncertain = false;
            }
            case WriteOutcome.Conflict conflict -> state.update(conflict.current());
            case WriteOutcome.Unknown unknown -> {
                state.uncertain = true;
                state.nextStepAt = ticker.nanos();
                LOG.log(
                        Level.DEBUG,
                        "[ownership] no reply to the write of the owner record of {0}; reading it back",
                        endpoint);
            }
        }
        if (!state.uncertain) {
            publish(endpoint, state, self);
        }
    }

    /** Makes the last known record visible to {@link #status}. */
    private void publish(EndpointId endpoint, OwnerState state, Incarnation self) {
        OwnedEndpoint before = owned.get(endpoint);
        if (before == null || !before.predecessors().equals(state.predecessors())) {
            state.predecessorsSince = ticker.nanos();
        }
        if (state.ownedBy(self) && !state.releasing) {
            owned.put(endpoint, new OwnedEndpoint(self, state.lastRecord.fence(), state.lastRecord.predecessors()));
        } else {
            owned.remove(endpoint);
        }
        if (state.lastRecord != null) {
            hint(endpoint, state.lastRecord.currentOwner().map(Incarnation::instance));
        }
    }

    private static String key(EndpointId endpoint) {
        return "owner/" + endpoint;
    }

    private record OwnedEndpoint(Incarnation owner, long fence, List<Predecessor> predecessors) {}
}
