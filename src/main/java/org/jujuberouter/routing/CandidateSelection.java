package org.jujuberouter.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Fingerprint;

/** Selects the candidates for one request as {@link Router} describes. */
final class CandidateSelection {
    /** Added to the cost of endpoints without free capacity, to rank them last; greater than any wait in seconds. */
    private static final double NO_ROOM_COST = 1e9;
    /** The preferred endpoint of a prefix is derived from its first 1,024 tokens; system prompts are usually longer. */
    private static final int HASHED_PREFIX_BLOCKS = 4;

    private static final int MAX_CACHE_HOLDERS = 2;
    /** With two draws, all fast endpoints without a long prefill would often be missed when there are few of them. */
    private static final int RANDOM_CHOICES = 4;

    private final RoutingSettings settings;
    private final RouteRequest request;
    private final EndpointGroup.Pool pool;
    private final long now;
    private final PromptSize size;
    private final long minKvTokens;
    private final int fittingCount;
    private final List<Candidate> candidates = new ArrayList<>();

    private record Candidate(CandidateEndpoint endpoint, double cost) {}

    CandidateSelection(
            RoutingSettings settings, RouteRequest request, EndpointGroup.Pool pool, double memoryShare, long now) {
        this.settings = settings;
        this.request = request;
        this.pool = pool;
        this.now = now;
        this.size = PromptSize.ofPrompt(request.promptTokens());
        this.minKvTokens = (long) Math.ceil(request.neededTokens() / memoryShare);
        this.fittingCount = EndpointGroup.Pool.fitting(pool.all, minKvTokens);
    }

    List<EndpointId> byCost(PrefixCacheIndex cacheIndex, SplittableRandom random) {
        if (fittingCount == 0) {
            return List.of();
        }
        double affinityLimit = settings.affinityFactor() * meanLoad() + settings.affinitySlack();
        considerHolders(cacheIndex, affinityLimit, random.nextInt(PrefixCacheIndex.MAX_HOLDERS));
        if (request.blocks().length > 0) {
            CandidateEndpoint preferred =
                    rendezvousWinner(request.blocks()[Math.min(HASHED_PREFIX_BLOCKS, request.blocks().length) - 1]);
            if (preferred != null && preferred.expectedWait(now, size, settings) <= affinityLimit) {
                consider(preferred, (long) (settings.assumedCachedShare() * request.promptTokens()));
            }
        }
        considerRandom(pool.nearest, random);
        considerRandom(pool.all, random);
        if (candidates.isEmpty() || candidates.getFirst().cost >= NO_ROOM_COST) {
            for (int i = 0; i < fittingCount; i++) {
                consider(pool.all[i], 0);
            }
        }
        return ids();
    }

    List<EndpointId> byFingerprint(Fingerprint fingerprint) {
        long key = PromptBlocks.mix(fingerprint.value().hashCode());
        for (int i = 0; i < fittingCount; i++) {
            if (!isExcluded(pool.all[i])) {
                insert(new Candidate(pool.all[i], -(double) EndpointGroup.rendezvousScore(key, pool.all[i])));
            }
        }
        return ids();
    }

    private void considerHolders(PrefixCacheIndex cacheIndex, double affinityLimit, int start) {
        int chain = request.blocks().length;
        Set<CandidateEndpoint> visited = new HashSet<>();
        cacheIndex.visitHolders(request.blocks(), now, start, (holder, blocks) -> {
            if (visited.add(holder)
                    && pool.contains(holder)
                    && holder.expectedWait(now, size, settings) <= affinityLimit) {
                consider(holder, request.promptTokens() * blocks / chain);
            }
            return visited.size() < MAX_CACHE_HOLDERS;
        });
    }

    /** Considers random endpoints, of which at least two differ if there are two: one drawn twice leaves no choice. */
    private void considerRandom(CandidateEndpoint[] endpoints, SplittableRandom random) {
        int count = EndpointGroup.Pool.fitting(endpoints, minKvTokens);
        if (count == 0) {
            return;
        }
        int first = random.nextInt(count);
        consider(endpoints[first], 0);
        if (count > 1) {
            consider(endpoints[(first + 1 + random.nextInt(count - 1)) % count], 0);
        }
        for (int i = 2; i < RANDOM_CHOICES && count > 2; i++) {
            consider(endpoints[random.nextInt(count)], 0);
        }
    }

    private void consider(CandidateEndpoint endpoint, long cachedTokens) {
        if (isExcluded(endpoint) || endpoint.spec.kvTokens() < minKvTokens) {
            return;
        }
        for (Candidate c : candidates) {
            if (c.endpoint == endpoint) {
                return;
            }
        }
        double cost = endpoint.expectedWait(now, size, settings)
                + (request.promptTokens() - cachedTokens) / endpoint.spec.prefillTokensPerSecond()
                + settings.distanceCost() * settings.distance(endpoint.spec.domain());
        insert(new Candidate(endpoint, endpoint.hasRoomFor(request.neededTokens()) ? cost : cost + NO_ROOM_COST));
    }

    /** Keeps the candidates in ascending order of cost and drops those that would not be returned. */
    private void insert(Candidate candidate) {
        int at = candidates.size();
        while (at > 0 && candidates.get(at - 1).cost > candidate.cost) {
            at--;
        }
        candidates.add(at, candidate);
        if (candidates.size() > settings.maxCandidates()) {
            candidates.removeLast();
        }
    }

    private CandidateEndpoint rendezvousWinner(long key) {
        CandidateEndpoint best = null;
        long bestScore = Long.MIN_VALUE;
        for (int i = 0; i < fittingCount; i++) {
            long score = EndpointGroup.rendezvousScore(key, pool.all[i]);
            if (score > bestScore) {
                bestScore = score;
                best = pool.all[i];
            }
        }
        return best;
    }

    private double meanLoad() {
        double sum = 0;
        for (int i = 0; i < fittingCount; i++) {
            sum += pool.all[i].expectedWait(now, size, settings);
        }
        return sum / fittingCount;
    }

    private boolean isExcluded(CandidateEndpoint endpoint) {
        return request.excluded().contains(endpoint.spec.id());
    }

    private List<EndpointId> ids() {
        return candidates.stream().map(c -> c.endpoint.spec.id()).toList();
    }
}
