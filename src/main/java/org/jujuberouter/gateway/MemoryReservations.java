package org.jujuberouter.gateway;

import java.util.function.Consumer;
import org.jujuberouter.catalog.Endpoint;

/** Orders that set memory aside at engines. */
public interface MemoryReservations {
    /** How an order ended. */
    enum Outcome {
        /** The memory is set aside. */
        GRANTED,
        /** The engine refused; nothing is set aside. */
        REFUSED,
        /** No answer came; the order may be carried out now, later or never. */
        UNKNOWN
    }

    /** Sets memory aside, or extends it where the id is known there; it lapses by itself after the given time. */
    void reserve(Endpoint at, String id, long tokens, long holdMs, Consumer<Outcome> listener);

    /** Frees what was set aside under the id. */
    void release(Endpoint at, String id);
}
