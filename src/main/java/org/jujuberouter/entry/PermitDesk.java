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
 * The owner's side of permits: one controller for each endpoint, for requests of this instance and of its peers alike.
 *
 * <p>The first question of a request that has to wait is answered at once, so that the holder can try other endpoints. When
 * it asks again, the answer is held back for up to {@link #HOLD}: one that comes when room is found spares a question.
 */
final class PermitDesk {
    /** Shorter than the period after which a holder must ask again to keep its permit usable. */
    static final Duration HOLD = Duration.ofMillis(300);

    private final AdmissionControllers controllers;
    private final Map<Waiting, CompletableFuture<Decision>> waiting = new ConcurrentHashMap<>();
    private final Set<Waiting> queued = ConcurrentHashMap.newKeySet();

    private PermitDesk(AdmissionControllers controllers) {
        this.controllers = controllers;
    }

    static PermitDesk of(AdmissionControllers controllers) {
        return new PermitDesk(controllers);
    }

    private record Waiting(EndpointId endpoint, RequestId request) {}

    AdmissionController controller(EndpointId endpoint) {
        return controllers.controller(endpoint);
    }

    /** Decides at once, or when the request was granted or refused, at the latest after {@link #HOLD}. */
    CompletableFuture<Decision> ask(EndpointId endpoint, PermitRequest request) {
        AdmissionController controller = controllers.controller(endpoint);
        Waiting key = new Waiting(endpoint, request.id());
        CompletableFuture<Decision> future = new CompletableFuture<>();
        waiting.put(key, future);
        Decision decision = controller.request(request);
        if (!(decision instanceof Decision.Waiting)) {
            queued.remove(key);
        }
        if (!(decision instanceof Decision.Waiting) || queued.add(key)) {
            waiting.remove(key, future);
            future.complete(decision);
        } else {
            future.completeOnTimeout(decision, HOLD.toMillis(), TimeUnit.MILLISECONDS)
                    .whenComplete((_, _) -> waiting.remove(key, future));
        }
        deliver(controller);
        return future;
    }

    void started(EndpointId endpoint, RequestId request) {
        on(endpoint, controller -> controller.started(request));
    }

    void prefillDone(EndpointId endpoint, RequestId request) {
        on(endpoint, controller -> controller.prefillDone(request));
    }

    void release(EndpointId endpoint, PermitRef permit, PermitEnd end) {
        on(endpoint, controller -> controller.release(permit, end));
    }

    /** Takes a request out of the queue; a permit that it was granted meanwhile is returned unused. */
    void withdraw(EndpointId endpoint, RequestId request) {
        queued.remove(new Waiting(endpoint, request));
        on(endpoint, controller -> {
            controller.withdraw(request);
            controller.permits().stream()
                    .filter(p -> p.id().equals(request))
                    .forEach(p -> controller.release(p.ref(), PermitEnd.NOT_SENT));
        });
    }

    /** Applies an event to a controller and hands out what it decided about requests that waited. */
    void on(EndpointId endpoint, Consumer<AdmissionController> event) {
        AdmissionController controller = controllers.controller(endpoint);
        event.accept(controller);
        deliver(controller);
    }

    void drain(Set<EndpointId> endpoints) {
        controllers.drain(endpoints);
    }

    /** Lets time take effect and returns what to tell the new owners of endpoints that were given up. */
    List<Handover> tick() {
        return controllers.tick(this::deliver);
    }

    private void deliver(AdmissionController controller) {
        for (QueuedDecision answer : controller.takeDecisions()) {
            Waiting key = new Waiting(controller.endpoint(), answer.request().id());
            queued.remove(key);
            CompletableFuture<Decision> future = waiting.remove(key);
            if (future != null) {
                future.complete(answer.decision());
            }
            // Without a waiting question the holder learns of the grant when it asks again.
        }
    }
}
