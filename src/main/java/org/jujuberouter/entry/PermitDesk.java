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
 * The owner's side of permits: one book for each endpoint, for requests of this instance and of its peers alike.
 *
 * <p>The first question of a request that has to wait is answered at once, so that the holder can try other endpoints. When
 * it asks again, the answer is held back for up to {@link #HOLD}: one that comes when room is found spares a question.
 */
final class PermitDesk {
    /** Shorter than the period after which a holder must ask again to keep its permit usable. */
    static final Duration HOLD = Duration.ofMillis(300);

    private final EndpointBooks books;
    private final Map<Waiting, CompletableFuture<Decision>> waiting = new ConcurrentHashMap<>();
    private final Set<Waiting> queued = ConcurrentHashMap.newKeySet();

    private PermitDesk(EndpointBooks books) {
        this.books = books;
    }

    static PermitDesk of(EndpointBooks books) {
        return new PermitDesk(books);
    }

    private record Waiting(EndpointId endpoint, RequestId request) {}

    EndpointBook book(EndpointId endpoint) {
        return books.book(endpoint);
    }

    /** Decides at once, or when the request was granted or refused, at the latest after {@link #HOLD}. */
    CompletableFuture<Decision> ask(EndpointId endpoint, PermitRequest request) {
        EndpointBook book = books.book(endpoint);
        Waiting key = new Waiting(endpoint, request.id());
        CompletableFuture<Decision> future = new CompletableFuture<>();
        waiting.put(key, future);
        Decision decision = book.request(request);
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
        deliver(book);
        return future;
    }

    void started(EndpointId endpoint, RequestId request) {
        on(endpoint, book -> book.started(request));
    }

    void prefillDone(EndpointId endpoint, RequestId request) {
        on(endpoint, book -> book.prefillDone(request));
    }

    void release(EndpointId endpoint, PermitRef permit, PermitEnd end) {
        on(endpoint, book -> book.release(permit, end));
    }

    /** Takes a request out of the queue; a permit that it was granted meanwhile is returned unused. */
    void withdraw(EndpointId endpoint, RequestId request) {
        queued.remove(new Waiting(endpoint, request));
        on(endpoint, book -> {
            book.withdraw(request);
            book.permits().stream()
                    .filter(p -> p.id().equals(request))
                    .forEach(p -> book.release(p.ref(), PermitEnd.NOT_SENT));
        });
    }

    /** Applies an event to a book and hands out what it decided about requests that waited. */
    void on(EndpointId endpoint, Consumer<EndpointBook> event) {
        EndpointBook book = books.book(endpoint);
        event.accept(book);
        deliver(book);
    }

    void drain(Set<EndpointId> endpoints) {
        books.drain(endpoints);
    }

    /** Lets time take effect and returns what to tell the new owners of endpoints that were given up. */
    List<Handover> tick() {
        return books.tick(this::deliver);
    }

    private void deliver(EndpointBook book) {
        for (Answer answer : book.answers()) {
            Waiting key = new Waiting(book.endpoint(), answer.request().id());
            queued.remove(key);
            CompletableFuture<Decision> future = waiting.remove(key);
            if (future != null) {
                future.complete(answer.decision());
            }
            // Without a waiting question the holder learns of the grant when it asks again.
        }
    }
}
