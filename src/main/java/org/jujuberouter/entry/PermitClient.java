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
 * Requests permits on behalf of holders from the owners of candidate endpoints, locally or over the network.
 *
 * <p>Candidates are tried in order without waiting, and the first grant is used. If none is granted immediately, the
 * request stays queued only at the first, best-ranked candidate that queued it, because several queues could grant
 * several permits.
 */
final class PermitClient {
    private static final Logger LOG = System.getLogger(PermitClient.class.getName());
    private static final Duration CALL_TIMEOUT = PermitServer.LONG_POLL_TIMEOUT.plusMillis(400);
    private static final int MAX_REDIRECTS = 2;

    /** An owner that did not reply is skipped for this period, so that a hung instance does not delay every request. */
    private static final Duration UNRESPONSIVE_OWNER_PERIOD = Duration.ofSeconds(1);

    private final Ticker ticker;
    private final PermitServer permitServer;
    private final Ownership ownership;
    private final PeerNetwork network;
    private final Function<EndpointId, String> crashIds;
    private final Map<RequestId, EndpointPermit> held = new ConcurrentHashMap<>();
    private final UnresponsivePeers unresponsivePeers;

    private PermitClient(
            Ticker ticker,
            PermitServer permitServer,
            Ownership ownership,
            PeerNetwork network,
            Function<EndpointId, String> crashIds) {
        this.ticker = ticker;
        this.permitServer = permitServer;
        this.ownership = ownership;
        this.network = network;
        this.crashIds = crashIds;
        this.unresponsivePeers = UnresponsivePeers.of(ticker, UNRESPONSIVE_OWNER_PERIOD);
    }

    static PermitClient create(
            Ticker ticker,
            PermitServer permitServer,
            Ownership ownership,
            PeerNetwork network,
            Function<EndpointId, String> crashIds) {
        return new PermitClient(ticker, permitServer, ownership, network, crashIds);
    }

    /** A permit that this instance holds and its endpoint. */
    private record EndpointPermit(EndpointId endpoint, Permit permit) {}

    /** A decision and the id of the crash if the endpoint crashes during its current boot; empty if none was sent. */
    private record OwnerReply(Decision decision, String crashId) {
        static OwnerReply of(Decision decision) {
            return new OwnerReply(decision, "");
        }
    }

    /** The result of requesting a permit from the candidates. */
    sealed interface Result {
        /**
         * A permit was granted.
         *
         * @param endpoint the endpoint that the permit is for
         * @param permit identifies the permit when it is released
         * @param crashId the id of the crash if the endpoint crashes during its current boot
         * @param validUntilNanos the expiry on the instance's ticker; nothing may be sent after it
         */
        record Acquired(EndpointId endpoint, PermitRef permit, String crashId, long validUntilNanos)
                implements Result {}

        /** The request is queued at this endpoint; call {@code acquire} again to wait. */
        record Queued(EndpointId endpoint) implements Result {}

        /** All candidates refused the request. */
        record Denied(List<Refusal> reasons) implements Result {}
    }

    /** Requests a permit from each candidate in order; the request keeps its place in a queue it already waits in. */
    Result acquire(PermitRequest request, List<EndpointId> candidates, Optional<EndpointId> queuedAt)
            throws InterruptedException {
        List<Refusal> reasons = new ArrayList<>();
        Optional<EndpointId> queued = Optional.empty();
        for (EndpointId endpoint : candidates) {
            long requestedAtNanos = ticker.nanos();
            OwnerReply reply = requestFromOwner(endpoint, request);
            switch (reply.decision()) {
                case Decision.Granted granted -> {
                    queued.or(() -> queuedAt).filter(e -> !e.equals(endpoint)).ifPresent(e -> withdraw(e, request));
                    held.put(request.id(), new EndpointPermit(endpoint, granted.permit()));
                    return new Result.Acquired(
                            endpoint,
                            granted.permit().ref(),
                            reply.crashId(),
                            requestedAtNanos + Permit.VALIDITY.toNanos());
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

    private OwnerReply requestFromOwner(EndpointId endpoint, PermitRequest request) throws InterruptedException {
        Optional<InstanceId> owner = Optional.empty();
        for (int i = 0; i <= MAX_REDIRECTS; i++) {
            OwnerReply reply = owner.isEmpty()
                    ? requestLocally(endpoint, request)
                    : requestFromPeer(owner.get(), endpoint, request);
            if (!(reply.decision() instanceof Decision.Refused refused
                    && refused.reason() instanceof Refusal.NotOwner notOwner)) {
                return reply;
            }
            if (owner.isPresent()) {
                ownership.hint(endpoint, notOwner.hint());
            }
            if (notOwner.hint().isEmpty() || notOwner.hint().equals(owner)) {
                return reply;
            }
            owner = notOwner.hint();
        }
        return OwnerReply.of(new Decision.Refused(new Refusal.NotOwner(Optional.empty())));
    }

    private OwnerReply requestLocally(EndpointId endpoint, PermitRequest request) throws InterruptedException {
        if (ownership.status(endpoint) instanceof OwnershipStatus.NotOwner notOwner) {
            return OwnerReply.of(new Decision.Refused(new Refusal.NotOwner(notOwner.hint())));
        }
        try {
            return new OwnerReply(permitServer.request(endpoint, request).get(), crashIds.apply(endpoint));
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    private OwnerReply requestFromPeer(InstanceId owner, EndpointId endpoint, PermitRequest request)
            throws InterruptedException {
        if (unresponsivePeers.contains(owner)) {
            return OwnerReply.of(new Decision.Refused(new Refusal.NotReporting()));
        }
        try {
            PeerMessage.PermitReply message =
                    network.call(owner, PermitMapper.toMessage(endpoint, request, ticker), CALL_TIMEOUT);
            String crashId = message.decision() instanceof PeerMessage.PermitGranted g ? g.crashId() : "";
            return new OwnerReply(PermitMapper.fromMessage(message.decision(), request, ticker), crashId);
        } catch (PeerException e) {
            unresponsivePeers.add(owner);
            LOG.log(
                    Level.DEBUG,
                    "[permits] Permit request to owner {0} of endpoint {1} failed: {2}",
                    owner,
                    endpoint,
                    e.getMessage());
            return OwnerReply.of(new Decision.Refused(new Refusal.NotReporting()));
        }
    }

    /** Notifies the owner that the first byte is about to be sent. */
    void started(EndpointId endpoint, RequestId request) {
        notifyOwner(
                endpoint,
                () -> permitServer.started(endpoint, request),
                new PeerMessage.PermitStage(endpoint, request, PeerMessage.Stage.STARTED));
    }

    /** Notifies the owner that the first token has arrived. */
    void prefillDone(EndpointId endpoint, RequestId request) {
        notifyOwner(
                endpoint,
                () -> permitServer.prefillDone(endpoint, request),
                new PeerMessage.PermitStage(endpoint, request, PeerMessage.Stage.PREFILLED));
    }

    /** Releases a permit to the owner. */
    void release(EndpointId endpoint, PermitRef permit, PermitEnd end) {
        held.remove(permit.request());
        notifyOwner(
                endpoint,
                () -> permitServer.release(endpoint, permit, end),
                new PeerMessage.PermitRelease(
                        permit.serial(), permit.fence(), endpoint, permit.request(), PermitMapper.toMessage(end)));
    }

    /** Withdraws a request from the queue of an endpoint. */
    void withdraw(EndpointId endpoint, PermitRequest request) {
        notifyOwner(
                endpoint,
                () -> permitServer.withdraw(endpoint, request.id()),
                new PeerMessage.PermitRelease(0, 0, endpoint, request.id(), PeerMessage.ReleaseReason.UNUSED));
    }

    /** Returns the permits that this instance holds for an endpoint. */
    List<Permit> held(EndpointId endpoint) {
        return held.values().stream()
                .filter(h -> h.endpoint().equals(endpoint))
                .map(EndpointPermit::permit)
                .toList();
    }

    private void notifyOwner(EndpointId endpoint, Runnable notifyLocally, PeerMessage message) {
        switch (ownership.status(endpoint)) {
            case OwnershipStatus.Owner _ -> notifyLocally.run();
            case OwnershipStatus.NotOwner notOwner -> notOwner.hint().ifPresent(owner -> send(owner, message));
        }
    }

    private void send(InstanceId owner, PeerMessage message) {
        try {
            network.send(owner, message);
        } catch (PeerException e) {
            // The owner learns of it from the engine's list or from the next report of held permits.
            LOG.log(Level.DEBUG, "[permits] Failed to send a message to owner {0}: {1}", owner, e.getMessage());
        }
    }
}
