package org.jujuberouter.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.misc.Ticker;

/**
 * Orders the endpoints that may serve a request.
 *
 * <p>A few endpoints are compared by the expected seconds to the first token: the load that the request would not
 * overtake, plus the part of the prompt that is not cached, plus a cost of distance. The endpoints compared are
 *
 * <ul>
 *   <li>those believed to hold the longest prefix, and the <em>home</em> of the prefix, which all instances derive by
 *       rendezvous hashing without a message; both only while their load is below a factor of the mean, so that a hot
 *       prefix cannot overload an endpoint, and
 *   <li>four at random from the nearest domain that serves, and four at random from all, so that instances with the same
 *       old reports do not all choose the same endpoint, and so that load spills over to other domains.
 * </ul>
 *
 * <p>The cost of a decision is linear in the number of endpoints of one placement (a sum and a hash each) and without a
 * sort. All methods may be called by any thread.
 */
public final class Router {
    private final RoutingSettings settings;
    private final Ticker ticker;
    private final SplittableRandom random;
    private final PrefixBeliefs beliefs;
    private final Map<EndpointId, EndpointState> endpoints = new HashMap<>();
    private final Set<FailureDomain> drainedDomains = new HashSet<>();
    private final Map<EndpointId, EndpointCondition> conditions = new HashMap<>();
    private Set<Placement> offered = Set.of();
    private Map<Placement, RouteGroup> groups;

    private Router(RoutingSettings settings, Ticker ticker, long seed) {
        this.settings = settings;
        this.ticker = ticker;
        this.random = new SplittableRandom(seed);
        this.beliefs = new PrefixBeliefs(settings);
    }

    /** Returns a router that knows no endpoint; the seed should differ between instances. */
    public static Router of(RoutingSettings settings, Ticker ticker, long seed) {
        return new Router(settings, ticker, seed);
    }

    /** Sets what the services offer, whether or not an endpoint serves it at present. */
    public synchronized void setOffered(Set<Placement> placements) {
        offered = Set.copyOf(placements);
    }

    /** Adds an endpoint or replaces its facts. */
    public synchronized void putEndpoint(EndpointSpec spec) {
        EndpointState state = endpoints.get(spec.id());
        if (state == null) {
            endpoints.put(spec.id(), new EndpointState(spec, ticker.nanos()));
        } else if (state.spec.equals(spec)) {
            return;
        } else {
            state.spec = spec;
        }
        groups = null;
    }

    /** Removes an endpoint. */
    public synchronized void removeEndpoint(EndpointId id) {
        EndpointState state = endpoints.remove(id);
        conditions.remove(id);
        if (state != null) {
            state.cacheGeneration++;
            groups = null;
        }
    }

    /** Sets the condition of an endpoint. */
    public synchronized void setCondition(EndpointId id, EndpointCondition condition) {
        EndpointCondition before = conditions.put(id, condition);
        if (before != condition) {
            groups = null;
            EndpointState state = endpoints.get(id);
            if (state != null && condition == EndpointCondition.UNFIT) {
                state.cacheGeneration++;
            }
        }
    }

    /** Sets the failure domains that operators took out. */
    public synchronized void setDrainedDomains(Set<FailureDomain> domains) {
        if (!drainedDomains.equals(domains)) {
            drainedDomains.clear();
            drainedDomains.addAll(domains);
            groups = null;
        }
    }

    /** Takes a load report; an older one than the last is ignored. */
    public synchronized void reportLoad(EndpointId id, ReportedLoad load) {
        EndpointState state = endpoints.get(id);
        if (state != null) {
            state.report(load);
        }
    }

    /** Takes an event that the endpoint stored prefix blocks. */
    public synchronized void cacheStored(EndpointId id, long sequence, long[] blocks) {
        EndpointState state = noteSequence(id, sequence);
        if (state != null) {
            beliefs.learn(state, blocks, ticker.nanos());
        }
    }

    /** Takes an event that the endpoint evicted prefix blocks. */
    public synchronized void cacheEvicted(EndpointId id, long sequence, long[] blocks) {
        EndpointState state = noteSequence(id, sequence);
        if (state != null) {
            beliefs.forget(state, blocks);
        }
    }

    /** Takes an event that the endpoint cleared its cache. */
    public synchronized void cacheCleared(EndpointId id, long sequence) {
        EndpointState state = noteSequence(id, sequence);
        if (state != null) {
            state.cacheGeneration++;
        }
    }

    /** Records that this instance sends a request to an endpoint. */
    public synchronized SentWork sent(EndpointId id, RouteRequest request) {
        EndpointState state = endpoints.get(id);
        if (state == null) {
            return new DefaultSentWork(null, null);
        }
        long now = ticker.nanos();
        int blocks = beliefs.blocksAt(state, request.blocks(), now);
        long cached = request.promptTokens() * blocks / Math.max(1, request.blocks().length);
        beliefs.learn(state, request.blocks(), now);
        return new DefaultSentWork(
                state,
                state.send(
                        now,
                        Lane.ofPrompt(request.promptTokens()),
                        request.promptTokens() - cached,
                        request.neededTokens()));
    }

    /** Returns the endpoints to ask for a request, the best first, or why there is none. */
    public synchronized RouteResult route(RouteRequest request) {
        RouteGroup group = groups().get(request.placement());
        if (group == null) {
            return offered.contains(request.placement())
                    ? new RouteResult.NoneAvailable("no endpoint has it loaded")
                    : new RouteResult.UnknownModel(request.placement());
        }
        boolean confined = request.isLong() && settings.longSubset();
        double memoryShare = request.isLong() ? RoutingSettings.LONG_MEMORY_SHARE : 1;
        long largest = (long) (group.largestKvTokens * memoryShare);
        if (request.neededTokens() > largest) {
            return new RouteResult.TooLarge(request.neededTokens(), largest);
        }
        long now = ticker.nanos();
        RouteGroup.Pool pool = confined ? longPool(group, request, memoryShare, now) : group.serving;
        RouteDecision decision = new RouteDecision(settings, request, pool, memoryShare, now);
        List<EndpointId> found =
                request.pinned().map(decision::byFingerprint).orElseGet(() -> decision.byCost(beliefs, random));
        if (!found.isEmpty()) {
            return new RouteResult.Candidates(found);
        }
        if (pool.all.length == 0) {
            return new RouteResult.NoneAvailable("all endpoints are drained, leaving or unfit");
        }
        return new RouteResult.NoneAvailable("all endpoints that are large enough were tried or are out of service");
    }

    private RouteGroup.Pool longPool(RouteGroup group, RouteRequest request, double memoryShare, long now) {
        long needed = (long) Math.ceil(request.neededTokens() / memoryShare);
        // All instances must send a pinned request to the same endpoint, although they see different loads.
        boolean pinned = request.pinned().isPresent();
        return group.longPool(needed, e -> {
            if (request.excluded().contains(e.spec.id())) {
                return Double.POSITIVE_INFINITY;
            }
            return pinned ? 0 : e.load(now, Lane.LONG, settings);
        });
    }

    /** Returns the number of prefix blocks remembered. */
    public synchronized int rememberedBlocks() {
        return beliefs.size();
    }

    private EndpointState noteSequence(EndpointId id, long sequence) {
        EndpointState state = endpoints.get(id);
        if (state == null || sequence <= state.lastCacheSequence) {
            return null;
        }
        if (state.lastCacheSequence >= 0 && sequence > state.lastCacheSequence + 1) {
            state.gapNanos = ticker.nanos();
        }
        state.lastCacheSequence = sequence;
        return state;
    }

    private Map<Placement, RouteGroup> groups() {
        if (groups == null) {
            Map<Placement, Collection<EndpointState>> members = new HashMap<>();
            for (EndpointState e : endpoints.values()) {
                e.condition = drainedDomains.contains(e.spec.domain())
                        ? EndpointCondition.DRAINED
                        : conditions.getOrDefault(e.spec.id(), EndpointCondition.SERVING);
                e.spec.placements()
                        .forEach(p ->
                                members.computeIfAbsent(p, x -> new HashSet<>()).add(e));
            }
            Map<Placement, RouteGroup> built = new HashMap<>();
            members.forEach((placement, list) -> built.put(placement, new RouteGroup(placement, list, settings)));
            groups = built;
        }
        return groups;
    }

    private final class DefaultSentWork implements SentWork {
        private final EndpointState state;
        private final EndpointState.Work work;

        private DefaultSentWork(EndpointState state, EndpointState.Work work) {
            this.state = state;
            this.work = work;
        }

        @Override
        public void prefilled() {
            synchronized (Router.this) {
                if (state != null) {
                    state.prefilled(work);
                }
            }
        }

        @Override
        public void ended() {
            synchronized (Router.this) {
                if (state != null) {
                    state.ended(work);
                }
            }
        }
    }
}
