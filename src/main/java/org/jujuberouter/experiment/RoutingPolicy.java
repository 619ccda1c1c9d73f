package org.jujuberouter.experiment;

import java.util.List;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.routing.ReportedLoad;
import org.jujuberouter.routing.RouteRequest;
import org.jujuberouter.routing.SentRequest;
import org.jujuberouter.standin.model.CacheEvent;

/** Strategy by which one instance chooses among endpoints. */
interface RoutingPolicy {
    /** Returns candidate endpoints in order of preference; empty if the request fits none. */
    List<EndpointId> choose(RouteRequest request);

    /** Records a request sent to an endpoint, so that it counts as load until a report includes it. */
    SentRequest recordSent(EndpointId endpoint, RouteRequest request);

    /** Processes a load report of an endpoint. */
    void reportLoad(EndpointId endpoint, ReportedLoad load);

    /** Processes a cache event of an endpoint. */
    void cacheEvent(EndpointId endpoint, CacheEvent event);
}
