package org.jujuberouter.entry;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.function.Function;
import org.jujuberouter.admission.Decision;
import org.jujuberouter.admission.Permit;
import org.jujuberouter.admission.PermitEnd;
import org.jujuberouter.admission.PermitRef;
import org.jujuberouter.admission.PermitRequest;
import org.jujuberouter.admission.Refusal;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.ownership.Ownership;
import org.jujuberouter.ownership.OwnershipStatus;
import org.jujuberouter.peer.PeerException;
import org.jujuberouter.peer.PeerMessage;
import org.jujuberouter.peer.PeerNetwork;

/**
 * The holder's side of permits: asks the owners of candidate endpoints, here or over the network.
 *
 * <p>All candidates are asked in turn without waiting; the first grant wins. When none grants at once, the request waits in
 * the queue of the best candidate that lets it wait, because a place in several queues would take several permits.
 */
final class PermitBroker {
    private static final Logger LOG = System.getLogger(PermitBroker.class.getName());
    private static final Duration CALL_TIMEOUT = PermitDesk.HOLD.plusMillis(400);
    private static final int MAX_REDIRECTS = 2;

    /** An owner that did not answer is not asked for this time, so that a frozen one does not hold up every request. */
    private static final Duration SILENT_OWNER_TIME = Duration.ofSeconds(1);

    private final Ticker ticker;
    private final PermitDesk desk;
    private final Ownership ownership;
    private final PeerNetwork network;
    private final Function<EndpointId, String> crashIds;
    private final Map<RequestId, Held> held = new ConcurrentHashMap<>();
    private final SilentPeers silent;

    private PermitBroker(
            Ticker ticker,
            PermitDesk desk,
            Ownership ownership,
            PeerNetwork network,
            Function<EndpointId, String> crashIds) {
        this.ticker = ticker;
        this.desk = desk;
        this.ownership = ownership;
        this.network = network;
        this.crashIds = crashIds;
        this.silent = SilentPeers.of(ticker, SILENT_OWNER_TIME);
    }

    static PermitBroker create(
            Ticker ticker,
            PermitDesk desk,
            Ownership ownership,
            PeerNetwork network,
            Function<EndpointId, String> crashIds) {
        return new PermitBroker(ticker, desk, ownership, network, crashIds);
    }

    /** A permit that this instance holds, and the endpoint it is for. */
    private record Held(EndpointId endpoint, Permit permit) {}

    /** A decision with the name of the crash, should the endpoint's present life end with the request. */
    private record Asked(Decision decision, String crashId) {
        static Asked of(Decision decision) {
            return new Asked(decision, "");
        }
    }

    /** What became of a question to the candidates. */
    sealed interface Result {
        /**
         * A permit.
         *
         * @param endpoint where the request may go
         * @param permit names the grant in a release
         * @param crashId names the crash, should the endpoint's present life end with the request
         * @param validUntil on the instance's ticker; no byte may be sent after it
         */
        record Acquired(EndpointId endpoint, PermitRef permit, String crashId, long validUntil) implements Result {}

        /** The request waits at this endpoint; ask again. */
        record Queued(EndpointId endpoint) implements Result {}

        /** All candidates refused. */
        record Denied(List<Refusal> reasons) implements Result {}
    }

    /** Asks each candidate; the request keeps its place where it was queued before. */
    Result acquire(PermitRequest request, List<EndpointId> candidates, Optional<EndpointId> queuedAt)
            throws InterruptedException {
        List<Refusal> reasons = new ArrayList<>();
        Optional<EndpointId> queued = Optional.empty();
        for (EndpointId endpoint : candidates) {
            long asked = ticker.nanos();
            Asked answer = ask(endpoint, request);
            switch (answer.decision()) {
                case Decision.Granted granted -> {
                    queued.or(() -> queuedAt).filter(e -> !e.equals(endpoint)).ifPresent(e -> withdraw(e, request));
                    held.put(request.id(), new Held(endpoint, granted.permit()));
                    return new Result.Acquired(
                            endpoint, granted.permit().ref(), answer.crashId(), asked + Permit.LIFE.toNanos());
                }
                case Decision.Waiting _ -> {
                    if (queued.isEmpty()) {
                        queued = Optional.of(endpoint);
                    } else {
                        withdraw(endpoint, request);
                    }
                }
                case Decision.Refused refused -> reasons.add(refused.reason());
            }
        }
        return queued.<Result>map(Result.Queued::new).orElseGet(() -> new Result.Denied(reasons));
    }

    private Asked ask(EndpointId endpoint, PermitRequest request) throws InterruptedException {
        Optional<InstanceId> owner = Optional.empty();
        for (int i = 0; i <= MAX_REDIRECTS; i++) {
            Asked answer = owner.isEmpty() ? askHere(endpoint, request) : askPeer(owner.get(), endpoint, request);
            if (!(answer.decision() instanceof Decision.Refused refused
                    && refused.reason() instanceof Refusal.NotOwner notOwner)) {
                return answer;
            }
            if (owner.isPresent()) {
                ownership.hint(endpoint, notOwner.hint());
            }
            if (notOwner.hint().isEmpty() || notOwner.hint().equals(owner)) {
                return answer;
            }
            owner = notOwner.hint();
        }
        return Asked.of(new Decision.Refused(new Refusal.NotOwner(Optional.empty())));
    }

    private Asked askHere(EndpointId endpoint, PermitRequest request) throws InterruptedException {
        if (ownership.status(endpoint) instanceof OwnershipStatus.NotOwner notOwner) {
            return Asked.of(new Decision.Refused(new Refusal.NotOwner(notOwner.hint())));
        }
        try {
            return new Asked(desk.ask(endpoint, request).get(), crashIds.apply(endpoint));
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    private Asked askPeer(InstanceId owner, EndpointId endpoint, PermitRequest request) throws InterruptedException {
        if (silent.contains(owner)) {
            return Asked.of(new Decision.Refused(new Refusal.NotReporting()));
        }
        try {
            PeerMessage.PermitReply reply =
                    network.call(owner, PermitWire.toMessage(endpoint, request, ticker), CALL_TIMEOUT);
            String crashId = reply.decision() instanceof PeerMessage.Granted g ? g.crashId() : "";
            return new Asked(PermitWire.fromMessage(reply.decision(), request, ticker), crashId);
        } catch (PeerException e) {
            silent.note(owner);
            LOG.log(Level.DEBUG, "[permits] Owner {0} of {1} did not answer: {2}", owner, endpoint, e.getMessage());
            return Asked.of(new Decision.Refused(new Refusal.NotReporting()));
        }
    }

    /** Tells the owner that the first byte is about to be sent. */
    void started(EndpointId endpoint, RequestId request) {
        tell(
                endpoint,
                () -> desk.started(endpoint, request),
                new PeerMessage.PermitStage(endpoint, request, PeerMessage.Stage.STARTED));
    }

    /** Tells the owner that the first token arrived. */
    void prefillDone(EndpointId endpoint, RequestId request) {
        tell(
                endpoint,
                () -> desk.prefillDone(endpoint, request),
                new PeerMessage.PermitStage(endpoint, request, PeerMessage.Stage.PREFILLED));
    }

    /** Returns a permit to the owner. */
    void release(EndpointId endpoint, PermitRef permit, PermitEnd end) {
        held.remove(permit.request());
        tell(
                endpoint,
                () -> desk.release(endpoint, permit, end),
                new PeerMessage.PermitRelease(
                        permit.serial(), permit.fence(), endpoint, permit.request(), PermitWire.toMessage(end)));
    }

    /** Leaves the queue of an endpoint. */
    void withdraw(EndpointId endpoint, PermitRequest request) {
        tell(
                endpoint,
                () -> desk.withdraw(endpoint, request.id()),
                new PeerMessage.PermitRelease(0, 0, endpoint, request.id(), PeerMessage.Ending.UNUSED));
    }

    /** Returns all permits held for an endpoint. */
    List<Permit> held(EndpointId endpoint) {
        return held.values().stream()
                .filter(h -> h.endpoint().equals(endpoint))
                .map(Held::permit)
                .toList();
    }

    private void tell(EndpointId endpoint, Runnable here, PeerMessage message) {
        switch (ownership.status(endpoint)) {
            case OwnershipStatus.Owner _ -> here.run();
            case OwnershipStatus.NotOwner notOwner -> notOwner.hint().ifPresent(owner -> send(owner, message));
        }
    }

    private void send(InstanceId owner, PeerMessage message) {
        try {
            network.send(owner, message);
        } catch (PeerException e) {
            // The owner learns it from the engine's list or from the next report of held permits.
            LOG.log(Level.DEBUG, "[permits] Message to {0} was not sent: {1}", owner, e.getMessage());
        }
    }
}
