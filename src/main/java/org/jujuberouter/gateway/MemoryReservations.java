package org.jujuberouter.gateway;

import java.util.function.Consumer;
import org.jujuberouter.catalog.Endpoint;

/**
 * Client for the memory reservations of engines.
 *
 * <p>An engine may carry out an order that it has not answered seconds later, also after newer orders. An order to an
 * engine that is no longer the one registered is refused.
 */
public interface MemoryReservations {
    /** Result of a reservation request. */
    enum Outcome {
        /** The memory is reserved. */
        GRANTED,
        /** The engine refused; no memory is reserved. */
        REFUSED,
        /** There was no response; the engine may have carried out the request, or may do so later or never. */
        UNKNOWN
    }

    /** What an engine reports about a reservation. */
    enum Use {
        /** A request uses the memory. */
        IN_USE,
        /** The memory is not used by a request, or not reserved. */
        NOT_IN_USE,
        /** There was no report. */
        UNKNOWN
    }

    /** Reserves memory, or extends the reservation with this id; it expires after the given hold time. */
    void reserve(Endpoint endpoint, String id, long tokens, long holdMs, Consumer<Outcome> listener);

    /** Frees the memory reserved under the id; the listener receives whether the engine confirmed that. */
    void release(Endpoint endpoint, String id, Consumer<Boolean> listener);

    /** Asks whether a request uses the reservation; the report may be some hundred milliseconds old. */
    void queryUse(Endpoint endpoint, String id, Consumer<Use> listener);
}
