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
 * Ranks the endpoints that can serve a request.
 *
 * <p>A few endpoints are compared by the expected time to the first token: the wait for load that the request cannot
 * overtake, plus the prefill of the part of the prompt that is not cached, plus a cost of distance. These are compared:
 *
 * <ul>
 *   <li>the endpoints that have cached the longest prefix according to the index, and the preferred endpoint of the
 *       prefix, which all instances derive by rendezvous hashing without exchanging messages; both only while their
 *       load is below a factor of the mean, so that a hot prefix cannot overload an endpoint;
 *   <li>four random endpoints from the nearest domain that serves the variant, and four from all domains, so that
 *       instances with the same stale reports do not all choose the same endpoint, and so that load spills over to
 *       other domains.
 * </ul>
 *
 * <p>A decision takes time linear in the number of endpoints of the variant (a sum and a hash for each) and needs no
 * sort. Thread-safe.
 */
public final class Router {
    private final RoutingSettings settings;
    private final Ticker ticker;
    private final SplittableRandom random;
    private final PrefixCacheIndex cacheIndex;
    private final Map<EndpointId, CandidateEndpoint> endpoints = new HashMap<>();
    private final Set<FailureDomain> drainedDomains = new HashSet<>();
    private final Map<EndpointId, EndpointCondition> conditions = new HashMap<>();
    private Set<ServiceVariant> offeredVariants = Set.of();
    private Map<ServiceVariant, EndpointGroup> groups;

    private Router(RoutingSettings settings, Ticker ticker, long seed) {
        this.settings = settings;
        this.ticker = ticker;
        this.random = new SplittableRandom(seed);
        this.cacheIndex = new PrefixCacheIndex(settings);
    }

    /** Returns a router without endpoints; the seed should differ between instances. */
    public static Router of(RoutingSettings settings, Ticker ticker, long seed) {
        return new Router(settings, ticker, seed);
    }

    /** Sets the variants that the services offer, whether or not an endpoint currently serves them. */
    public synchronized void setOffered(Set<ServiceVariant> variants) {
        offeredVariants = Set.copyOf(variants);
    }

    /** Adds an endpoint or replaces its properties. */
    public synchronized void putEndpoint(EndpointSpec spec) {
        CandidateEndpoint endpoint = endpoints.get(spec.id());
        if (endpoint == null) {
            endpoints.put(spec.id(), new CandidateEndpoint(spec, ticker.nanos()));
        } else if (endpoint.spec.equals(spec)) {
            return;
        } else {
            endpoint.spec = spec;
        }
        groups = null;
    }

    public synchronized void removeEndpoint(EndpointId id) {
        CandidateEndpoint endpoint = endpoints.remove(id);
        conditions.remove(id);
        if (endpoint != null) {
            endpoint.cacheGeneration++;
            groups = null;
        }
    }

    public synchronized void setCondition(EndpointId id, EndpointCondition condition) {
        EndpointCondition before = conditions.put(id, condition);
        if (before != condition) {
            groups = null;
            CandidateEndpoint endpoint = endpoints.get(id);
            if (endpoint != null && condition == EndpointCondition.UNAVAILABLE) {
                endpoint.cacheGeneration++;
            }
        }
    }

    /** Sets the failure domains that operators removed from service. */
    public synchronized void setDrainedDomains(Set<FailureDomain> domains) {
        if (!drainedDomains.equals(domains)) {
            drainedDomains.clear();
            drainedDomains.addAll(domains);
            groups = null;
        }
    }

    /** Applies a load report, unless it is older than the last one. */
    public synchronized void reportLoad(EndpointId id, ReportedLoad load) {
        CandidateEndpoint endpoint = endpoints.get(id);
        if (endpoint != null) {
            endpoint.report(load);
        }
    }

    /** Handles the event that the endpoint stored prefix blocks. */
    public synchronized void cacheStored(EndpointId id, long sequence, long[] blocks) {
        CandidateEndpoint endpoint = advanceSequence(id, sequence);
        if (endpoint != null) {
            cacheIndex.add(endpoint, blocks, ticker.nanos());
        }
    }

    /** Handles the event that the endpoint evicted prefix blocks. */
    public synchronized void cacheEvicted(EndpointId id, long sequence, long[] blocks) {
        CandidateEndpoint endpoint = advanceSequence(id, sequence);
        if (endpoint != null) {
            cacheIndex.remove(endpoint, blocks);
        }
    }

    /** Handles the event that the endpoint cleared its cache. */
    public synchronized void cacheCleared(EndpointId id, long sequence) {
        CandidateEndpoint endpoint = advanceSequence(id, sequence);
        if (endpoint != null) {
            endpoint.cacheGeneration++;
        }
    }

    /** Records that this instance is sending a request to an endpoint. */
    public synchronized SentRequest recordSent(EndpointId id, RouteRequest request) {
        CandidateEndpoint endpoint = endpoints.get(id);
        if (endpoint == null) {
            return new TrackedRequest(null, null);
        }
        long now = ticker.nanos();
        int blocks = cacheIndex.cachedBlocks(endpoint, request.blocks(), now);
        long cached = request.promptTokens() * blocks / Math.max(1, request.blocks().length);
        cacheIndex.add(endpoint, request.blocks(), now);
        return new TrackedRequest(
                endpoint,
                endpoint.recordSent(
                        now,
                        PromptSize.ofPrompt(request.promptTokens()),
                        request.promptTokens() - cached,
                        request.neededTokens()));
    }

    /** Returns the endpoints to try for a request, the best first, or why there are none. */
    public synchronized RouteResult route(RouteRequest request) {
        EndpointGroup group = groups().get(request.variant());
        if (group == null) {
            return offeredVariants.contains(request.variant())
                    ? new RouteResult.NoneAvailable("no endpoint has the variant loaded")
                    : new RouteResult.UnknownModel(request.variant());
        }
        boolean confined = request.isLong() && settings.longSubset();
        double memoryShare = request.isLong() ? RoutingSettings.LONG_MEMORY_SHARE : 1;
        long largest = (long) (group.largestKvTokens * memoryShare);
        if (request.neededTokens() > largest) {
            return new RouteResult.TooLarge(request.neededTokens(), largest);
        }
        long now = ticker.nanos();
        EndpointGroup.Pool pool = confined ? longPool(group, request, memoryShare, now) : group.serving;
        CandidateSelection selection = new CandidateSelection(settings, request, pool, memoryShare, now);
        List<EndpointId> ranked =
                request.pinned().map(selection::byFingerprint).orElseGet(() -> selection.byCost(cacheIndex, random));
        if (!ranked.isEmpty()) {
            return new RouteResult.Candidates(ranked);
        }
        if (pool.all.length == 0) {
            return new RouteResult.NoneAvailable("all endpoints are drained, leaving or unavailable");
        }
        return new RouteResult.NoneAvailable("all endpoints that are large enough were tried or are out of service");
    }

    private EndpointGroup.Pool longPool(EndpointGroup group, RouteRequest request, double memoryShare, long now) {
        long needed = (long) Math.ceil(request.neededTokens() / memoryShare);
        // All instances must choose the same endpoint for a pinned request, although they see different loads.
        boolean pinned = request.pinned().isPresent();
        return group.longPool(needed, e -> {
            if (request.excluded().contains(e.spec.id())) {
                return Double.POSITIVE_INFINITY;
            }
            return pinned ? 0 : e.expectedWait(now, PromptSize.LONG, settings);
        });
    }

    /** Returns the number of prefix blocks in the index. */
    public synchronized int indexedBlocks() {
        return cacheIndex.size();
    }

    private CandidateEndpoint advanceSequence(EndpointId id, long sequence) {
        CandidateEndpoint endpoint = endpoints.get(id);
        if (endpoint == null || sequence <= endpoint.lastCacheSequence) {
            return null;
        }
        if (endpoint.lastCacheSequence >= 0 && sequence > endpoint.lastCacheSequence + 1) {
            endpoint.lastGapNanos = ticker.nanos();
        }
        endpoint.lastCacheSequence = sequence;
        return endpoint;
    }

    private Map<ServiceVariant, EndpointGroup> groups() {
        if (groups == null) {
            Map<ServiceVariant, Collection<CandidateEndpoint>> members = new HashMap<>();
            for (CandidateEndpoint e : endpoints.values()) {
                e.condition = drainedDomains.contains(e.spec.domain())
                        ? EndpointCondition.DRAINED
                        : conditions.getOrDefault(e.spec.id(), EndpointCondition.SERVING);
                e.spec.variants()
                        .forEach(variant -> members.computeIfAbsent(variant, _ -> new HashSet<>())
                                .add(e));
            }
            Map<ServiceVariant, EndpointGroup> built = new HashMap<>();
            members.forEach((variant, list) -> built.put(variant, new EndpointGroup(variant, list, settings)));
            groups = built;
        }
        return groups;
    }

    private final class TrackedRequest implements SentRequest {
        private final CandidateEndpoint endpoint;
        private final CandidateEndpoint.UnreportedWork work;

        private TrackedRequest(CandidateEndpoint endpoint, CandidateEndpoint.UnreportedWork work) {
            this.endpoint = endpoint;
            this.work = work;
        }

        @Override
        public void prefilled() {
            synchronized (Router.this) {
                if (endpoint != null) {
                    endpoint.prefilled(work);
                }
            }
        }

        @Override
        public void ended() {
            synchronized (Router.this) {
                if (endpoint != null) {
                    endpoint.ended(work);
                }
            }
        }
    }
}
