package org.jujuberouter.entry;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jujuberouter.admission.AdmissionController;
import org.jujuberouter.admission.AdmissionControllers;
import org.jujuberouter.admission.Decision;
import org.jujuberouter.admission.Handover;
import org.jujuberouter.admission.PermitEnd;
import org.jujuberouter.admission.PermitRef;
import org.jujuberouter.admission.PermitRequest;
import org.jujuberouter.admission.QueuedDecision;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.RequestId;

/**
 * Grants permits for the endpoints that this instance owns, to its own requests and to those of peers.
 *
 * <p>The first permit request for a request that must be queued is answered immediately, so that the holder can try
 * other endpoints. Repeated permit requests are long polls: the reply is delayed for up to {@link #LONG_POLL_TIMEOUT}
 * until the request is granted or refused, which saves round trips.
 */
final class PermitServer {
    /** Shorter than the period after which a holder must repeat its request to keep a granted permit usable. */
    static final Duration LONG_POLL_TIMEOUT = Duration.ofMillis(300);

    private final AdmissionControllers controllers;
    private final Map<RequestKey, CompletableFuture<Decision>> pendingReplies = new ConcurrentHashMap<>();
    private final Set<RequestKey> queuedRequests = ConcurrentHashMap.newKeySet();

    private PermitServer(AdmissionControllers controllers) {
        this.controllers = controllers;
    }

    static PermitServer of(AdmissionControllers controllers) {
        return new PermitServer(controllers);
    }

    private record RequestKey(EndpointId endpoint, RequestId request) {}

    AdmissionController controller(EndpointId endpoint) {
        return controllers.controller(endpoint);
    }

    /**
     * Completes immediately, or once the request is granted or refused, but no later than {@link #LONG_POLL_TIMEOUT}.
     */
    CompletableFuture<Decision> request(EndpointId endpoint, PermitRequest request) {
        AdmissionController controller = controllers.controller(endpoint);
        RequestKey key = new RequestKey(endpoint, request.id());
        CompletableFuture<Decision> future = new CompletableFuture<>();
        pendingReplies.put(key, future);
        Decision decision = controller.request(request);
        if (!(decision instanceof Decision.Waiting)) {
            queuedRequests.remove(key);
        }
        if (!(decision instanceof Decision.Waiting) || queuedRequests.add(key)) {
            pendingReplies.remove(key, future);
            future.complete(decision);
        } else {
            future.completeOnTimeout(decision, LONG_POLL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                    .whenComplete((_, _) -> pendingReplies.remove(key, future));
        }
        completeReplies(controller);
        return future;
    }

    void started(EndpointId endpoint, RequestId request) {
        update(endpoint, controller -> controller.started(request));
    }

    void prefillDone(EndpointId endpoint, RequestId request) {
        update(endpoint, controller -> controller.prefillDone(request));
    }

    void release(EndpointId endpoint, PermitRef permit, PermitEnd end) {
        update(endpoint, controller -> controller.release(permit, end));
    }

    /** Removes a request from the queue; a permit that was granted in the meantime is released unused. */
    void withdraw(EndpointId endpoint, RequestId request) {
        queuedRequests.remove(new RequestKey(endpoint, request));
        update(endpoint, controller -> {
            controller.withdraw(request);
            controller.permits().stream()
                    .filter(p -> p.id().equals(request))
                    .forEach(p -> controller.release(p.ref(), PermitEnd.NOT_SENT));
        });
    }

    /** Updates a controller and completes the pending replies of requests that it decided as a result. */
    void update(EndpointId endpoint, Consumer<AdmissionController> change) {
        AdmissionController controller = controllers.controller(endpoint);
        change.accept(controller);
        completeReplies(controller);
    }

    void drain(Set<EndpointId> endpoints) {
        controllers.drain(endpoints);
    }

    /** Ticks the admission controllers and returns the handovers to send to new owners of endpoints. */
    List<Handover> tick() {
        return controllers.tick(this::completeReplies);
    }

    private void completeReplies(AdmissionController controller) {
        for (QueuedDecision queued : controller.takeDecisions()) {
            RequestKey key =
                    new RequestKey(controller.endpoint(), queued.request().id());
            queuedRequests.remove(key);
            CompletableFuture<Decision> future = pendingReplies.remove(key);
            if (future != null) {
                future.complete(queued.decision());
            }
            // If no reply is pending, the holder learns of the decision with its next request.
        }
    }
}
