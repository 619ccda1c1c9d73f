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
 * All endpoints that are registered, and the work at each.
 *
 * <p>The endpoints of a service are kept in one order that every instance computes alike. Short prompts fill it from the
 * front and long ones from the back, which keeps them apart without any agreement.
 */
public final class Fleet {
    private final Ticker ticker;
    private final Map<EndpointId, EndpointState> endpoints = new HashMap<>();
    private final Map<ServiceName, List<EndpointState>> ordered = new HashMap<>();
    private final Set<FailureDomain> evacuated = new HashSet<>();
    private int group;
    private int groups = 1;
    private final Map<RequestId, List<EndpointId>> placed = new LinkedHashMap<>();

    private Fleet(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns a fleet without endpoints. */
    public static Fleet empty(Ticker ticker) {
        return new Fleet(ticker);
    }

    /** Takes a registration; another run under the same id starts without work and without history. */
    public void put(Endpoint endpoint) {
        EndpointState known = endpoints.get(endpoint.id());
        if (known != null && known.endpoint().isSameRun(endpoint)) {
            known.update(endpoint, ticker.nanos());
        } else {
            endpoints.put(endpoint.id(), new EndpointState(endpoint, ticker.nanos()));
        }
        ordered.clear();
    }

    /** Drops a registration, at once or after a time in which it may come back. */
    public void remove(EndpointId id, long graceMs) {
        EndpointState known = endpoints.get(id);
        if (known != null) {
            known.goneFrom(ticker.nanos() + TimeUnit.MILLISECONDS.toNanos(graceMs));
            if (graceMs == 0) {
                endpoints.remove(id);
                ordered.clear();
            }
        }
    }

    /** Restricts this instance to the share of its group among the endpoints of each service that is large enough. */
    public void setShare(int ownGroup, int groupCount) {
        if (ownGroup != group || groupCount != groups) {
            group = ownGroup;
            groups = groupCount;
            ordered.clear();
        }
    }

    /** Takes a failure domain out, or back in. */
    public void setEvacuated(FailureDomain domain, boolean out) {
        if (out) {
            evacuated.add(domain);
        } else {
            evacuated.remove(domain);
        }
    }

    /** Returns the endpoint with the id. */
    public Optional<EndpointState> find(EndpointId id) {
        return Optional.ofNullable(endpoints.get(id));
    }

    /**
     * Returns the endpoints of a service that new work may go to, in the common order: those of the own share, or of all
     * shares where that has none left.
     */
    public List<EndpointState> usable(ServiceName service) {
        List<EndpointState> own = usable(ordered.computeIfAbsent(service, s -> order(s, share(s))));
        return own.isEmpty() && groups > 1 ? usable(order(service, ofService(service))) : own;
    }

    private List<EndpointState> usable(List<EndpointState> candidates) {
        long now = ticker.nanos();
        return candidates.stream().filter(e -> mayUse(e, now)).toList();
    }

    private boolean mayUse(EndpointState e, long now) {
        return e.isUsable(now) && !evacuated.contains(e.endpoint().domain());
    }

    /** Returns the number of endpoints that are registered. */
    public int size() {
        return endpoints.size();
    }

    /** Returns the number of endpoints that recent failures speak against. */
    public long avoided() {
        long now = ticker.nanos();
        return endpoints.values().stream().filter(e -> e.isAvoided(now)).count();
    }

    /** Enters the work of a call. */
    public void start(List<Work> works) {
        long now = ticker.nanos();
        for (Work w : works) {
            placed.computeIfAbsent(w.id(), _ -> new ArrayList<>()).add(w.endpoint());
            EndpointState e = endpoints.get(w.endpoint());
            if (e != null) {
                e.load().add(w, now);
                e.started(now);
            }
        }
    }

    /** Notes that the prompt of a call has been read. */
    public void readDone(RequestId id) {
        for (EndpointId at : placed.getOrDefault(id, List.of())) {
            find(at).ifPresent(e -> e.load().readDone(id, ticker.nanos()));
        }
    }

    /** Takes the work of a call out. */
    public void end(RequestId id) {
        for (EndpointId at : placed.getOrDefault(id, List.of())) {
            find(at).ifPresent(e -> e.load().remove(id, ticker.nanos()));
        }
        placed.remove(id);
    }

    private Map<EndpointId, EndpointState> ofService(ServiceName service) {
        Map<EndpointId, EndpointState> found = new HashMap<>();
        endpoints.forEach((id, e) -> {
            if (e.endpoint().service().equals(service)) {
                found.put(id, e);
            }
        });
        return found;
    }

    private Map<EndpointId, EndpointState> share(ServiceName service) {
        Map<EndpointId, EndpointState> all = ofService(service);
        int shares = ShareGroups.countForService(groups, all.size());
        if (shares > 1) {
            Map<EndpointId, Integer> assigned = ShareGroups.assign(service.value(), all.keySet(), shares);
            all.keySet().removeIf(id -> assigned.get(id) != group);
        }
        return all;
    }

    private static List<EndpointState> order(ServiceName service, Map<EndpointId, EndpointState> candidates) {
        return RendezvousHash.rank(service.value(), candidates.keySet()).stream()
                .map(candidates::get)
                .toList();
    }
}
