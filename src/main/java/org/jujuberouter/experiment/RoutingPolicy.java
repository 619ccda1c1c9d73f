package org.jujuberouter.experiment;

import java.util.List;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.routing.ReportedLoad;
import org.jujuberouter.routing.RouteRequest;
import org.jujuberouter.routing.SentRequest;
import org.jujuberouter.standin.model.CacheEvent;

/** How one instance chooses among engines. */
interface RoutingPolicy {
    /** Returns endpoints to ask in this order, or nothing if the request fits none. */
    List<EndpointId> choose(RouteRequest request);

    /** Records that the instance sends a request. */
    SentRequest recordSent(EndpointId endpoint, RouteRequest request);

    /** Takes a load report. */
    void reportLoad(EndpointId endpoint, ReportedLoad load);

    /** Takes a cache event. */
    void cacheEvent(EndpointId endpoint, CacheEvent event);
}
