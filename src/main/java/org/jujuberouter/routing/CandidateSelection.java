package org.jujuberouter.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Fingerprint;

/** One run of the choice that {@link Router} describes. */
final class CandidateSelection {
    /** Distinguishes endpoints without room from all others; longer than any wait in seconds. */
    private static final double NO_ROOM_COST = 1e9;
    /** The home of a prefix is derived from its first 1,024 tokens, which system prompts usually exceed. */
    private static final int HOME_DEPTH = 4;

    private static final int MAX_HOLDERS_CONSIDERED = 2;
    /** Two would often miss all fast endpoints without a long prefill, when those are few. */
    private static final int RANDOM_CHOICES = 4;

    private final RoutingSettings settings;
    private final RouteRequest request;
    private final EndpointGroup.Pool pool;
    private final long now;
    private final PromptSize lane;
    private final long leastKvTokens;
    private final int fit;
    private final List<Option> options = new ArrayList<>();

    private record Option(TrackedEndpoint endpoint, double cost) {}

    CandidateSelection(
            RoutingSettings settings, RouteRequest request, EndpointGroup.Pool pool, double memoryShare, long now) {
        this.settings = settings;
        this.request = request;
        this.pool = pool;
        this.now = now;
        this.lane = PromptSize.ofPrompt(request.promptTokens());
        this.leastKvTokens = (long) Math.ceil(request.neededTokens() / memoryShare);
        this.fit = EndpointGroup.Pool.fitting(pool.all, leastKvTokens);
    }

    List<EndpointId> byCost(PrefixCacheIndex beliefs, SplittableRandom random) {
        if (fit == 0) {
            return List.of();
        }
        double bound = settings.affinityFactor() * meanLoad() + settings.affinitySlack();
        considerHolders(beliefs, bound, random.nextInt(PrefixCacheIndex.MAX_HOLDERS));
        if (request.blocks().length > 0) {
            TrackedEndpoint home = bestScore(request.blocks()[Math.min(HOME_DEPTH, request.blocks().length) - 1]);
            if (home != null && home.load(now, lane, settings) <= bound) {
                consider(home, (long) (settings.homeShare() * request.promptTokens()));
            }
        }
        considerRandom(pool.near, random);
        considerRandom(pool.all, random);
        if (options.isEmpty() || options.getFirst().cost >= NO_ROOM_COST) {
            for (int i = 0; i < fit; i++) {
                consider(pool.all[i], 0);
            }
        }
        return ids();
    }

    List<EndpointId> byFingerprint(Fingerprint fingerprint) {
        long key = PromptBlocks.mix(fingerprint.value().hashCode());
        for (int i = 0; i < fit; i++) {
            if (!isExcluded(pool.all[i])) {
                insert(new Option(pool.all[i], -(double) EndpointGroup.rendezvousScore(key, pool.all[i])));
            }
        }
        return ids();
    }

    private void considerHolders(PrefixCacheIndex beliefs, double bound, int start) {
        int chain = request.blocks().length;
        Set<TrackedEndpoint> visited = new HashSet<>();
        beliefs.visitHolders(request.blocks(), now, start, (holder, blocks) -> {
            if (visited.add(holder) && pool.contains(holder) && holder.load(now, lane, settings) <= bound) {
                consider(holder, request.promptTokens() * blocks / chain);
            }
            return visited.size() < MAX_HOLDERS_CONSIDERED;
        });
    }

    /** Considers a few endpoints, at least two different ones; one drawn twice would leave no choice. */
    private void considerRandom(TrackedEndpoint[] endpoints, SplittableRandom random) {
        int count = EndpointGroup.Pool.fitting(endpoints, leastKvTokens);
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

    private void consider(TrackedEndpoint endpoint, long cachedTokens) {
        if (isExcluded(endpoint) || endpoint.spec.kvTokens() < leastKvTokens) {
            return;
        }
        for (Option o : options) {
            if (o.endpoint == endpoint) {
                return;
            }
        }
        double cost = endpoint.load(now, lane, settings)
                + (request.promptTokens() - cachedTokens) / endpoint.spec.prefillTokensPerSecond()
                + settings.distanceCost() * settings.distance(endpoint.spec.domain());
        insert(new Option(endpoint, endpoint.hasRoomFor(request.neededTokens()) ? cost : cost + NO_ROOM_COST));
    }

    /** Keeps the options in ascending order of cost and drops those that would not be returned. */
    private void insert(Option option) {
        int at = options.size();
        while (at > 0 && options.get(at - 1).cost > option.cost) {
            at--;
        }
        options.add(at, option);
        if (options.size() > settings.maxCandidates()) {
            options.removeLast();
        }
    }

    private TrackedEndpoint bestScore(long key) {
        TrackedEndpoint best = null;
        long bestScore = Long.MIN_VALUE;
        for (int i = 0; i < fit; i++) {
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
        for (int i = 0; i < fit; i++) {
            sum += pool.all[i].load(now, lane, settings);
        }
        return sum / fit;
    }

    private boolean isExcluded(TrackedEndpoint endpoint) {
        return request.excluded().contains(endpoint.spec.id());
    }

    private List<EndpointId> ids() {
        return options.stream().map(o -> o.endpoint.spec.id()).toList();
    }
}
