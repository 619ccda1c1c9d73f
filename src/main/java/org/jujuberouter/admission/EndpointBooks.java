package org.jujuberouter.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Ticker;

/**
 * The books of all endpoints for which one instance admits or was asked to.
 *
 * <p>A book outlives a short loss of ownership, so that an instance whose lease lapsed and that claims again still knows its
 * permits. It ends when another owner is known; its permits then go to that owner.
 */
public final class EndpointBooks {
    private final Ticker ticker;
    private final Function<EndpointId, Mandate> mandates;
    private final Holders holders;
    private final Predicate<EndpointId> lists;
    private final Map<EndpointId, EndpointBook> books = new ConcurrentHashMap<>();
    private volatile Set<EndpointId> drained = Set.of();

    private EndpointBooks(
            Ticker ticker, Function<EndpointId, Mandate> mandates, Holders holders, Predicate<EndpointId> lists) {
        this.ticker = ticker;
        this.mandates = mandates;
        this.holders = holders;
        this.lists = lists;
    }

    /**
     * Returns an empty set of books.
     *
     * @param mandates what ownership allows, asked at every grant
     * @param holders the view of the processes that hold permits
     * @param lists which endpoints list their requests, as engines do and plain services do not
     */
    public static EndpointBooks of(
            Ticker ticker, Function<EndpointId, Mandate> mandates, Holders holders, Predicate<EndpointId> lists) {
        return new EndpointBooks(ticker, mandates, holders, lists);
    }

    /** Returns the book of an endpoint, new if need be. */
    public EndpointBook book(EndpointId endpoint) {
        return books.computeIfAbsent(endpoint, id -> {
            EndpointBook book = lists.test(id)
                    ? EndpointBook.ofEngine(ticker, id, () -> mandates.apply(id), holders)
                    : EndpointBook.ofPlainService(ticker, id, () -> mandates.apply(id), holders);
            book.drain(drained.contains(id));
            return book;
        });
    }

    /** Returns the books that exist. */
    public Collection<EndpointBook> all() {
        return List.copyOf(books.values());
    }

    /** Sets which endpoints operators have taken out of service, alone or with their failure domain. */
    public void drain(Set<EndpointId> endpoints) {
        drained = Set.copyOf(endpoints);
        books.forEach((id, book) -> book.drain(endpoints.contains(id)));
    }

    /**
     * Ticks all books and ends those that another instance now keeps.
     *
     * @param changed called with each book after its tick, to deliver its answers
     * @return what to tell the new owners
     */
    public List<Handover> tick(Consumer<EndpointBook> changed) {
        List<Handover> handovers = new ArrayList<>();
        books.forEach((id, book) -> {
            book.tick();
            changed.accept(book);
            Optional<InstanceId> other =
                    mandates.apply(id) instanceof Mandate.None none ? none.hint() : Optional.empty();
            if (other.isPresent()) {
                books.remove(id);
                long fence = book.figures().fence();
                if (fence > 0) {
                    handovers.add(new Handover(id, fence, other.get(), book.permits()));
                }
            }
        });
        return handovers;
    }
}
