package org.jujuberouter.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.jujuberouter.admission.AdmissionAuthority;
import org.jujuberouter.admission.AdmissionController;
import org.jujuberouter.admission.AdmissionControllers;
import org.jujuberouter.admission.Decision;
import org.jujuberouter.admission.Handover;
import org.jujuberouter.admission.HolderLiveness;
import org.jujuberouter.admission.Permit;
import org.jujuberouter.admission.PermitClaim;
import org.jujuberouter.admission.PermitEnd;
import org.jujuberouter.admission.PermitRequest;
import org.jujuberouter.admission.Refusal;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.membership.Membership;

/** An instance with the production classes for membership, ownership and admission, wired as in the daemon. */
final class SimulatedInstance implements MemberView, HolderLiveness {
    static final FailureDomain DOMAIN = FailureDomain.of("d");

    final InstanceId id;
    final Membership membership;
    final Registration registration;
    final Ownership ownership;
    final AdmissionControllers controllers;
    final Map<EndpointId, Long> baselineFreeSlots = new TreeMap<>();
    final List<Runnable> deferred = new ArrayList<>();
    boolean paused;
    boolean dead;

    /** Where to pause once: 1 as owner before the next grant is sent, 2 as holder before the first byte, 0 nowhere. */
    int pauseAtGrant;

    long pauseMs;

    private final FleetSimulation fleet;
    private final Map<RequestId, PermitClaim> claims = new HashMap<>();

    SimulatedInstance(FleetSimulation fleet, InstanceId id, long seed) {
        this.fleet = fleet;
        this.id = id;
        membership = Membership.of(fleet.ticker, id, DOMAIN);
        registration = Registration.of(fleet.ticker, fleet.store, id, "address", new Random(seed));
        ownership = Ownership.of(fleet.ticker, fleet.store, registration, this);
        controllers = AdmissionControllers.of(fleet.ticker, this::authority, this, e -> true);
        controllers.drain(fleet.drained);
    }

    @Override
    public Collection<InstanceId> candidates(EndpointId endpoint) {
        return membership.live();
    }

    @Override
    public long stableNanos() {
        return membership.stableNanos();
    }

    @Override
    public long absentNanos(InstanceId instance) {
        return membership.absentNanos(instance);
    }

    @Override
    public boolean isPresumedDead(Incarnation holder) {
        return membership.dead(holder);
    }

    @Override
    public boolean isTerminated(Incarnation holder) {
        return membership.isTerminated(holder);
    }

    private AdmissionAuthority authority(EndpointId endpoint) {
        return switch (ownership.status(endpoint)) {
            case OwnershipStatus.NotOwner notOwner -> new AdmissionAuthority.None(notOwner.hint());
            case OwnershipStatus.Owner owner ->
                new AdmissionAuthority.Held(
                        owner.fence(), owner.predecessors().size(), owner::usable, owner::unsent, owner::reserved);
        };
    }

    void tick() {
        registration.tick();
        ownership.tick(fleet.endpoints());
        ownership.owned().forEach(controllers::controller);
        for (Handover handover : controllers.tick(this::sendDecisions)) {
            fleet.send(this, handover.next(), to -> {
                to.controllers.controller(handover.endpoint()).handover(handover.fence(), handover.permits());
                to.ownership.onHandover(handover.endpoint());
            });
        }
    }

    void heartbeat() {
        registration
                .processIncarnation()
                .ifPresent(process -> fleet.instances
                        .keySet()
                        .forEach(peer -> fleet.send(
                                this, peer, to -> to.membership.heartbeatReceived(process, DOMAIN, "address", false))));
    }

    void pollEngines() {
        long requestedNanos = fleet.ticker.nanos();
        for (AdmissionController controller : controllers.all()) {
            SimulatedEngine engine = fleet.engines.get(controller.endpoint());
            fleet.sendToEngine(this, () -> {
                if (engine.up(fleet.nowMs())) {
                    var report = engine.report(fleet.nowMs());
                    var rows = engine.list(fleet.nowMs());
                    fleet.send(null, id, to -> {
                        controller.report(report, requestedNanos);
                        controller.listed(rows, requestedNanos).forEach(engine.running::remove);
                        to.sendDecisions(controller);
                    });
                }
            });
        }
    }

    private void decide(PermitRequest request, EndpointId endpoint, InstanceId holder) {
        membership.heartbeatReceived(request.holder(), DOMAIN, "address", false);
        reply(request, endpoint, controllers.controller(endpoint).request(request), holder);
        sendDecisions(controllers.controller(endpoint));
    }

    private void sendDecisions(AdmissionController controller) {
        controller
                .takeDecisions()
                .forEach(decided -> reply(
                        decided.request(),
                        controller.endpoint(),
                        decided.decision(),
                        decided.request().holder().instance()));
    }

    private void reply(PermitRequest request, EndpointId endpoint, Decision decision, InstanceId holder) {
        if (decision instanceof Decision.Granted) {
            pauseIfRequested(1);
        }
        fleet.send(this, holder, to -> to.decided(request, endpoint, decision, id));
    }

    private void pauseIfRequested(int kind) {
        if (pauseAtGrant == kind) {
            pauseAtGrant = 0;
            fleet.pause(this, pauseMs);
        }
    }

    void requestPermit(PermitRequest request, EndpointId endpoint) {
        if (claims.computeIfAbsent(request.id(), r -> PermitClaim.of(fleet.ticker, request))
                .recordRequest()) {
            fleet.send(this, owner(endpoint), to -> to.decide(request, endpoint, id));
        }
    }

    private InstanceId owner(EndpointId endpoint) {
        return ownership.status(endpoint) instanceof OwnershipStatus.NotOwner notOwner
                ? notOwner.hint().orElse(id)
                : id;
    }

    private void decided(PermitRequest request, EndpointId endpoint, Decision decision, InstanceId owner) {
        switch (decision) {
            case Decision.Waiting waiting ->
                fleet.schedule(fleet.nowMs() + 500, this, () -> requestPermit(request, endpoint));
            case Decision.Refused refused -> {
                if (refused.reason() instanceof Refusal.NotOwner notOwner) {
                    ownership.hint(endpoint, notOwner.hint());
                    fleet.schedule(fleet.nowMs() + 250, this, () -> requestPermit(request, endpoint));
                }
            }
            case Decision.Granted granted -> granted(granted.permit(), endpoint, owner);
        }
    }

    private void granted(Permit permit, EndpointId endpoint, InstanceId owner) {
        // Without a claim, the permit was requested by an earlier process of this instance.
        PermitClaim claim = claims.get(permit.id());
        switch (claim == null ? PermitClaim.Use.RELEASE : claim.use(permit)) {
            case RELEASE -> releasePermit(permit, endpoint, owner, PermitEnd.NOT_SENT);
            case SEND -> sendWork(permit, endpoint, owner);
            default -> {}
        }
    }

    private void sendWork(Permit permit, EndpointId endpoint, InstanceId owner) {
        pauseIfRequested(2);
        SimulatedEngine engine = fleet.engines.get(endpoint);
        fleet.sendToEngine(this, () -> {
            if (!engine.up(fleet.nowMs())) {
                fleet.send(null, id, to -> to.releasePermit(permit, endpoint, owner, PermitEnd.FAILED));
                return;
            }
            fleet.run(
                    engine, permit, end -> fleet.send(null, id, to -> to.releasePermit(permit, endpoint, owner, end)));
            fleet.send(
                    null,
                    id,
                    to -> fleet.send(to, owner, o -> {
                        o.controllers.controller(endpoint).started(permit.id());
                        o.sendDecisions(o.controllers.controller(endpoint));
                    }));
        });
    }

    private void releasePermit(Permit permit, EndpointId endpoint, InstanceId granter, PermitEnd end) {
        for (InstanceId target : new HashSet<>(List.of(granter, owner(endpoint)))) {
            fleet.send(this, target, to -> {
                to.controllers.controller(endpoint).release(permit.ref(), end);
                to.sendDecisions(to.controllers.controller(endpoint));
            });
        }
    }
}
