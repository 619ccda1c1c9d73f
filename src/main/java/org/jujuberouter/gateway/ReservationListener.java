package org.jujuberouter.gateway;

import java.util.function.Consumer;
import org.jujuberouter.catalog.Endpoint;

/**
 * Receives the decisions on a reservation until it is released.
 *
 * @param granted called when all engines have reserved the memory
 * @param refused called with the first engine that did not reserve it; the reservation has been released
 */
record ReservationListener(Runnable granted, Consumer<Endpoint> refused) {}
