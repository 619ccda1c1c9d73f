package org.jujuberouter.gateway;

import java.util.function.Consumer;
import org.jujuberouter.catalog.Endpoint;

/**
 * Receives the decisions on a reservation until it is released.
 *
 * @param granted called when all engines have reserved the memory
 * @param refused called with the first engine that did not reserve it; the reservation has been released
 * @param lapsed called with an engine whose hold has expired, so that it has cut off the request or never began it
 */
record ReservationListener(Runnable granted, Consumer<Endpoint> refused, Consumer<Endpoint> lapsed) {}
