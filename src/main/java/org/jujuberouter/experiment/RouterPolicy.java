package org.jujuberouter.experiment;

import java.util.List;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.routing.ReportedLoad;
import org.jujuberouter.routing.RouteRequest;
import org.jujuberouter.routing.RouteResult;
import org.jujuberouter.routing.Router;
import org.jujuberouter.routing.SentRequest;
import org.jujuberouter.standin.model.CacheEvent;

/** Adapts the router, which is the policy under test. */
final class RouterPolicy implements RoutingPolicy {
    private final Router router;
    private final boolean usesCacheEvents;

    RouterPolicy(Router router, boolean usesCacheEvents) {
        this.router = router;
        this.usesCacheEvents = usesCacheEvents;
    }

    @Override
    public List<EndpointId> choose(RouteRequest request) {
        return router.route(request) instanceof RouteResult.Candidates c ? c.endpoints() : List.of();
    }

    @Override
    public SentRequest recordSent(EndpointId endpoint, RouteRequest request) {
        return router.recordSent(endpoint, request);
    }

    @Override
    public void reportLoad(EndpointId endpoint, ReportedLoad load) {
        router.reportLoad(endpoint, load);
    }

    @Override
    public void cacheEvent(EndpointId endpoint, CacheEvent event) {
        if (!usesCacheEvents) {
            return;
        }
        switch (event.kind()) {
            case STORED -> router.cacheStored(endpoint, event.sequence(), event.blocks());
            case EVICTED -> router.cacheEvicted(endpoint, event.sequence(), event.blocks());
            default -> router.cacheCleared(endpoint, event.sequence());
        }
    }
}
