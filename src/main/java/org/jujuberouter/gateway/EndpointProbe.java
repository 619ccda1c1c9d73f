package org.jujuberouter.gateway;

import java.util.function.Consumer;
import org.jujuberouter.catalog.Endpoint;

/** Asks whether an endpoint still answers, on a connection of its own. */
public interface EndpointProbe {
    /** The listener receives whether the endpoint answered within the time-out of the probe. */
    void probe(Endpoint endpoint, Consumer<Boolean> listener);
}
