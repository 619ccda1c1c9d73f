package org.jujuberouter.gateway;

import org.jujuberouter.catalog.Endpoint;

/** Records what becomes of the memory of a reservation at each engine, for logs and metrics. */
interface ReservationObserver {
    /** An engine was asked whether the request still uses the memory, since there was no recent sign of it. */
    void useReported(Endpoint engine, String id, MemoryReservations.Use use);

    /** An engine has not answered an order. */
    void orderUnanswered(Endpoint engine, String id, String order);

    /** The memory at an engine is to be freed; followed by {@link #freed} or {@link #releaseUnconfirmed}. */
    void releasing(Endpoint engine);

    /** An engine has confirmed the release, so many milliseconds after it was first sent. */
    void freed(Endpoint engine, String id, long afterMs);

    /** An engine has not confirmed the release within the time in which it may hold the memory. */
    void releaseUnconfirmed(Endpoint engine, String id, long afterMs);
}
