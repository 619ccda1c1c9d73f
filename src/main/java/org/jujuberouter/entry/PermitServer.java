package org.jujuberouter.entry;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jujuberouter.admission.Answer;
import org.jujuberouter.admission.Decision;
import org.jujuberouter.admission.EndpointBook;
import org.jujuberouter.admission.EndpointBooks;
import org.jujuberouter.admission.Handover;
import org.jujuberouter.admission.PermitEnd;
import org.jujuberouter.admission.PermitRef;
import org.jujuberouter.admission.PermitRequest;
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

    private final EndpointBooks books;
    private final Map<RequestKey, CompletableFuture<Decision>> pendingReplies = new ConcurrentHashMap<>();
    private final Set<RequestKey> queuedRequests = ConcurrentHashMap.newKeySet();

    private PermitServer(EndpointBooks books) {
        this.books = books;
    }

    static PermitServer of(EndpointBooks books) {
        return new PermitServer(books);
    }

    private record RequestKey(EndpointId endpoint, RequestId request) {}

    EndpointBook book(EndpointId endpoint) {
        return books.book(endpoint);
    }

    /**
     * Completes immediately, or once the request is granted or refused, but no later than {@link #LONG_POLL_TIMEOUT}.
     */
    CompletableFuture<Decision> request(EndpointId endpoint, PermitRequest request) {
        EndpointBook book = books.book(endpoint);
        RequestKey key = new RequestKey(endpoint, request.id());
        CompletableFuture<Decision> future = new CompletableFuture<>();
        pendingReplies.put(key, future);
        Decision decision = book.request(request);
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
        completeReplies(book);
        return future;
    }

    void started(EndpointId endpoint, RequestId request) {
        update(endpoint, book -> book.started(request));
    }

    void prefillDone(EndpointId endpoint, RequestId request) {
        update(endpoint, book -> book.prefillDone(request));
    }

    void release(EndpointId endpoint, PermitRef permit, PermitEnd end) {
        update(endpoint, book -> book.release(permit, end));
    }

    /** Removes a request from the queue; a permit that was granted in the meantime is released unused. */
    void withdraw(EndpointId endpoint, RequestId request) {
        queuedRequests.remove(new RequestKey(endpoint, request));
        update(endpoint, book -> {
            book.withdraw(request);
            book.permits().stream()
                    .filter(p -> p.id().equals(request))
                    .forEach(p -> book.release(p.ref(), PermitEnd.NOT_SENT));
        });
    }

    /** Updates a book and completes the pending replies of requests that it decided as a result. */
    void update(EndpointId endpoint, Consumer<EndpointBook> event) {
        EndpointBook book = books.book(endpoint);
        event.accept(book);
        completeReplies(book);
    }

    void drain(Set<EndpointId> endpoints) {
        books.drain(endpoints);
    }

    /** Advances the books to the current time and returns the handovers to send to new owners of endpoints. */
    List<Handover> tick() {
        return books.tick(this::completeReplies);
    }

    private void completeReplies(EndpointBook book) {
        for (Answer answer : book.answers()) {
            RequestKey key = new RequestKey(book.endpoint(), answer.request().id());
            queuedRequests.remove(key);
            CompletableFuture<Decision> future = pendingReplies.remove(key);
            if (future != null) {
                future.complete(answer.decision());
            }
            // If no reply is pending, the holder learns of the decision with its next request.
        }
    }
}
