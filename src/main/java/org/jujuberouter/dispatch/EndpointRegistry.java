package org.jujuberouter.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.Rendezvous;
import org.jujuberouter.misc.Ticker;

/**
 * All endpoints that are registered, and the work at each.
 *
 * <p>The endpoints of a service are kept in one order that every instance computes alike. Short prompts fill it from the
 * front and long ones from the back, which keeps them apart without any agreement.
 */
public final class EndpointRegistry {
    private final Ticker ticker;
    private final Map<EndpointId, TrackedEndpoint> endpoints = new HashMap<>();
    private final Map<ServiceName, List<TrackedEndpoint>> orderedByService = new HashMap<>();
    private final Set<FailureDomain> evacuated = new HashSet<>();
    private int group;
    private int groups = 1;
    private final Map<RequestId, List<EndpointId>> endpointsByRequest = new LinkedHashMap<>();

    private EndpointRegistry(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns a fleet without endpoints. */
    public static EndpointRegistry empty(Ticker ticker) {
        return new EndpointRegistry(ticker);
    }

    /** Takes a registration; another run under the same id starts without work and without history. */
    public void register(Endpoint endpoint) {
        TrackedEndpoint known = endpoints.get(endpoint.id());
        if (known != null && known.registration().isSameRun(endpoint)) {
            known.update(endpoint, ticker.nanos());
        } else {
            endpoints.put(endpoint.id(), new TrackedEndpoint(endpoint, ticker.nanos()));
        }
        orderedByService.clear();
    }

    /** Drops a registration, at once or after a time in which it may come back. */
    public void deregister(EndpointId id, long graceMs) {
        TrackedEndpoint known = endpoints.get(id);
        if (known != null) {
            known.expireAt(ticker.nanos() + TimeUnit.MILLISECONDS.toNanos(graceMs));
            if (graceMs == 0) {
                endpoints.remove(id);
                orderedByService.clear();
            }
        }
    }

    /** Restricts this instance to the share of its group among the endpoints of each service that is large enough. */
    public void setGroup(int ownGroup, int groupCount) {
        if (ownGroup != group || groupCount != groups) {
            group = ownGroup;
            groups = groupCount;
            orderedByService.clear();
        }
    }

    /** Takes a failure domain out, or back in. */
    public void setEvacuated(FailureDomain domain, boolean isEvacuated) {
        if (isEvacuated) {
            evacuated.add(domain);
        } else {
            evacuated.remove(domain);
        }
    }

    /** Returns the endpoint with the id. */
    public Optional<TrackedEndpoint> find(EndpointId id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /**
     * Returns the endpoints of a service that new work may go to, in the common order: those of the own share, or of all
     * shares where that has none left.
     */
    public List<TrackedEndpoint> usable(ServiceName service) {
        List<TrackedEndpoint> ownGroup =
                usable(orderedByService.computeIfAbsent(service, s -> order(s, endpointsOfGroup(s))));
        return ownGroup.isEmpty() && groups > 1 ? usable(order(service, endpointsOf(service))) : ownGroup;
    }

    private List<TrackedEndpoint> usable(List<TrackedEndpoint> candidates) {
        long now = ticker.nanos();
        return candidates.stream().filter(e -> isUsable(e, now)).toList();
    }

    private boolean isUsable(TrackedEndpoint e, long now) {
        return e.isUsable(now) && !evacuated.contains(e.registration().domain());
    }

    /** Returns the number of endpoints that are registered. */
    public int size() {
        return endpoints.size();
    }

    /** Returns the number of endpoints that recent failures speak against. */
    public long backedOffCount() {
        long now = ticker.nanos();
        return endpoints.values().stream().filter(e -> e.isBackedOff(now)).count();
    }

    /** Enters the work of a call. */
    public void allocate(List<Allocation> allocations) {
        long now = ticker.nanos();
        for (Allocation allocation : allocations) {
            endpointsByRequest
                    .computeIfAbsent(allocation.id(), _ -> new ArrayList<>())
                    .add(allocation.endpoint());
            TrackedEndpoint endpoint = endpoints.get(allocation.endpoint());
            if (endpoint != null) {
                endpoint.load().add(allocation, now);
                endpoint.recordStart(now);
            }
        }
    }

    /** Notes that the prompt of a call has been read. */
    public void prefillDone(RequestId id) {
        for (EndpointId endpoint : endpointsByRequest.getOrDefault(id, List.of())) {
            find(endpoint).ifPresent(e -> e.load().prefillDone(id, ticker.nanos()));
        }
    }

    /** Takes the work of a call out. */
    public void release(RequestId id) {
        for (EndpointId endpoint : endpointsByRequest.getOrDefault(id, List.of())) {
            find(endpoint).ifPresent(e -> e.load().remove(id, ticker.nanos()));
        }
        endpointsByRequest.remove(id);
    }

    private Map<EndpointId, TrackedEndpoint> endpointsOf(ServiceName service) {
        Map<EndpointId, TrackedEndpoint> found = new HashMap<>();
        endpoints.forEach((id, e) -> {
            if (e.registration().service().equals(service)) {
                found.put(id, e);
            }
        });
        return found;
    }

    private Map<EndpointId, TrackedEndpoint> endpointsOfGroup(ServiceName service) {
        Map<EndpointId, TrackedEndpoint> all = endpointsOf(service);
        int shares = InstanceGroups.groupCountForService(groups, all.size());
        if (shares > 1) {
            Map<EndpointId, Integer> assigned = InstanceGroups.assign(service.value(), all.keySet(), shares);
            all.keySet().removeIf(id -> assigned.get(id) != group);
        }
        return all;
    }

    private static List<TrackedEndpoint> order(ServiceName service, Map<EndpointId, TrackedEndpoint> candidates) {
        return Rendezvous.order(service.value(), candidates.keySet()).stream()
                .map(candidates::get)
                .toList();
    }
}
