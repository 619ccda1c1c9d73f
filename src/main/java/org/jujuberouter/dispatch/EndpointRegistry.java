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
import org.jujuberouter.misc.RendezvousHash;
import org.jujuberouter.misc.Ticker;

/**
 * The registered endpoints and their load.
 *
 * <p>The registration of an endpoint may end while it runs, as it cannot reach the store, and return later. What is known
 * of the run holds meanwhile: its calls, the pause that it asked for, that it is leaving, its calls during a cold start.
 * So a run is kept for a while after its registration has ended, if it can be told from the next one by its start.
 *
 * <p>The endpoints of a service are sorted in an order that is the same on every instance. Short prompts use it from
 * the front and long ones from the back, which separates them without coordination between instances.
 */
public final class EndpointRegistry {
    /** Time for which a run without a registration is kept, which is also the longest pause that endpoints ask for. */
    private static final long UNREGISTERED_KEPT_MS = 600_000;

    private final Ticker ticker;
    private final Map<EndpointId, TrackedEndpoint> endpoints = new HashMap<>();
    private final Map<EndpointId, TrackedEndpoint> unregistered = new HashMap<>();
    private final Map<ServiceName, List<TrackedEndpoint>> orderedByService = new HashMap<>();
    private final Map<FailureDomain, TrackedDomain> domains = new HashMap<>();
    private final Set<FailureDomain> evacuated = new HashSet<>();
    private int group;
    private int groups = 1;
    private boolean groupsByDomain = true;
    private long orderings;
    private long loadChanges;
    private final Map<RequestId, List<EndpointId>> endpointsByRequest = new LinkedHashMap<>();

    private EndpointRegistry(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns a registry without endpoints. */
    public static EndpointRegistry empty(Ticker ticker) {
        return new EndpointRegistry(ticker);
    }

    /** Adds or updates a registration; a new run under the same id starts without load and history. */
    public void register(Endpoint endpoint) {
        TrackedDomain domain = domains.computeIfAbsent(endpoint.domain(), TrackedDomain::new);
        TrackedEndpoint returning = unregistered.remove(endpoint.id());
        if (returning != null) {
            endpoints.put(endpoint.id(), returning);
            orderedByService.clear();
        }
        TrackedEndpoint known = endpoints.get(endpoint.id());
        if (known != null && known.registration().isSameRun(endpoint)) {
            boolean sameGroup = known.registration().service().equals(endpoint.service())
                    && known.registration().domain().equals(endpoint.domain());
            known.update(endpoint, domain, ticker.nanos());
            if (sameGroup) {
                return;
            }
        } else {
            endpoints.put(endpoint.id(), new TrackedEndpoint(endpoint, domain, ticker.nanos()));
        }
        orderedByService.clear();
    }

    /** Removes a registration, at once or after a grace period in which the endpoint may register again. */
    public void deregister(EndpointId id, long graceMs) {
        long now = ticker.nanos();
        TrackedEndpoint known = endpoints.get(id);
        if (known != null) {
            known.expireAt(now + TimeUnit.MILLISECONDS.toNanos(graceMs));
            if (graceMs == 0) {
                endpoints.remove(id);
                if (known.registration().isStartKnown()) {
                    unregistered.put(id, known);
                }
                orderedByService.clear();
            }
        }
        unregistered.values().removeIf(e -> e.isExpiredFor(UNREGISTERED_KEPT_MS, now));
    }

    /** Returns a run that is registered, or was until a while ago. */
    private Optional<TrackedEndpoint> findRun(EndpointId id) {
        return Optional.ofNullable(endpoints.getOrDefault(id, unregistered.get(id)));
    }

    /** Restricts this instance to the endpoints of its group, for each service that has enough endpoints. */
    public void setGroup(int ownGroup, int groupCount) {
        setGroup(ownGroup, groupCount, true);
    }

    /**
     * Restricts this instance to the endpoints of its group, for each service that has enough endpoints.
     *
     * @param byDomain whether each group has its share of each domain's endpoints
     */
    public void setGroup(int ownGroup, int groupCount, boolean byDomain) {
        if (ownGroup != group || groupCount != groups || byDomain != groupsByDomain) {
            group = ownGroup;
            groups = groupCount;
            groupsByDomain = byDomain;
            orderedByService.clear();
        }
    }

    /** Excludes a failure domain from new calls, or includes it again. */
    public void setEvacuated(FailureDomain domain, boolean isEvacuated) {
        if (isEvacuated) {
            evacuated.add(domain);
        } else {
            evacuated.remove(domain);
        }
    }

    /** Returns the failure domains that are excluded from new calls. */
    public Set<FailureDomain> evacuated() {
        return Set.copyOf(evacuated);
    }

    /** Returns the registered endpoints of a service, of all groups. */
    public List<TrackedEndpoint> all(ServiceName service) {
        return List.copyOf(endpointsOf(service).values());
    }

    /** Returns a registered endpoint. */
    public Optional<TrackedEndpoint> find(EndpointId id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /**
     * Returns the endpoints of a service that accept new calls, in the common order: those of the group of this
     * instance, or of all groups if that group has none.
     */
    public List<TrackedEndpoint> usable(ServiceName service) {
        List<TrackedEndpoint> ownEndpoints =
                usable(orderedByService.computeIfAbsent(service, s -> order(s, endpointsOfGroup(s))));
        return ownEndpoints.isEmpty() && groups > 1 ? usable(order(service, endpointsOf(service))) : ownEndpoints;
    }

    private List<TrackedEndpoint> usable(List<TrackedEndpoint> candidates) {
        long now = ticker.nanos();
        List<TrackedEndpoint> found = new ArrayList<>(candidates.size());
        for (TrackedEndpoint e : candidates) {
            if (isUsable(e, now)) {
                found.add(e);
            }
        }
        return found;
    }

    private boolean isUsable(TrackedEndpoint e, long now) {
        return e.isUsable(now) && !evacuated.contains(e.registration().domain());
    }

    /** Records that an endpoint had no capacity for a call. */
    public void markFull(EndpointId id) {
        findRun(id).ifPresent(e -> e.markFull(ticker.nanos()));
    }

    /** Returns the number of registered endpoints. */
    public int size() {
        return endpoints.size();
    }

    /** Returns the number of runs that are kept without a registration. */
    int unregisteredCount() {
        return unregistered.size();
    }

    /** Returns how often the endpoints of a service have been put in order since the start. */
    public long orderings() {
        return orderings;
    }

    /** Returns how often allocations have been added or removed since the start. */
    long loadChanges() {
        return loadChanges;
    }

    /** Returns the number of endpoints that are avoided because of recent failures. */
    public long backedOffCount() {
        long now = ticker.nanos();
        return endpoints.values().stream().filter(e -> e.isBackedOff(now)).count();
    }

    /** Adds the allocations of a call. */
    public void allocate(List<Allocation> allocations) {
        long now = ticker.nanos();
        loadChanges++;
        double callPrefillMs = 0;
        long callTokens = 0;
        for (Allocation allocation : allocations) {
            callPrefillMs += allocation.prefillMs();
            callTokens += allocation.memoryTokens();
        }
        for (Allocation allocation : allocations) {
            endpointsByRequest
                    .computeIfAbsent(allocation.id(), _ -> new ArrayList<>())
                    .add(allocation.endpoint());
            Optional<TrackedEndpoint> endpoint = findRun(allocation.endpoint());
            if (endpoint.isPresent()) {
                endpoint.get().load().add(allocation, callPrefillMs, callTokens, now);
                endpoint.get().recordStart(now);
            }
        }
    }

    /** Records that the prefill of a call is complete. */
    public void prefillDone(RequestId id) {
        long now = ticker.nanos();
        for (EndpointId endpointId : endpointsByRequest.getOrDefault(id, List.of())) {
            findRun(endpointId).ifPresent(e -> e.load().prefillDone(id, now));
        }
    }

    /** Records that a call of this instance is being answered, which proves that all endpoints that work on it are reached. */
    public void recordReached(RequestId id) {
        for (EndpointId endpointId : endpointsByRequest.getOrDefault(id, List.of())) {
            findRun(endpointId).ifPresent(e -> e.domain().recordReached());
        }
    }

    /** Removes the allocations of a call. */
    public void release(RequestId id) {
        List<EndpointId> allocated = endpointsByRequest.remove(id);
        if (allocated == null) {
            return;
        }
        long now = ticker.nanos();
        loadChanges++;
        for (EndpointId endpointId : allocated) {
            findRun(endpointId).ifPresent(e -> e.load().remove(id, now));
        }
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
        int serviceGroups = InstanceGroups.groupCountForService(groups, all.size());
        if (serviceGroups > 1) {
            Map<EndpointId, Integer> assigned = groupsByDomain
                    ? InstanceGroups.assignByDomain(service.value(), domainsOf(all), serviceGroups)
                    : InstanceGroups.assign(service.value(), all.keySet(), serviceGroups);
            all.keySet().removeIf(id -> assigned.get(id) != group);
        }
        return all;
    }

    private static Map<EndpointId, FailureDomain> domainsOf(Map<EndpointId, TrackedEndpoint> endpoints) {
        Map<EndpointId, FailureDomain> domains = new HashMap<>();
        endpoints.forEach((id, e) -> domains.put(id, e.registration().domain()));
        return domains;
    }

    private List<TrackedEndpoint> order(ServiceName service, Map<EndpointId, TrackedEndpoint> candidates) {
        orderings++;
        return RendezvousHash.rank(service.value(), candidates.keySet()).stream()
                .map(candidates::get)
                .toList();
    }
}
