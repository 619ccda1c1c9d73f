package org.jujuberouter.entry;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ModelName;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerMessage;
import org.jujuberouter.routing.EndpointCondition;
import org.jujuberouter.routing.EndpointSpec;
import org.jujuberouter.routing.ReportedLoad;
import org.jujuberouter.routing.Router;
import org.jujuberouter.routing.ServiceVariant;
import org.jujuberouter.settings.Settings;
import org.jujuberouter.store.ListedMember;

/**
 * The endpoints known to this instance; every change is passed to the router.
 *
 * <p>The platform's list determines which endpoints exist. The model and load of an engine come from the engine itself
 * if this instance owns it, and otherwise from the owner's heartbeats.
 */
final class EndpointDirectory {
    static final String SERVING = "serving";
    static final String LEAVING = "leaving";
    static final String DOWN = "down";

    private final Ticker ticker;
    private final Router router;
    private final Map<EndpointId, EngineStatus> engineStatuses = new ConcurrentHashMap<>();
    private volatile Map<EndpointId, ListedMember> members = Map.of();
    private volatile Settings settings;

    private EndpointDirectory(Ticker ticker, Router router) {
        this.ticker = ticker;
        this.router = router;
    }

    static EndpointDirectory create(Ticker ticker, Router router) {
        return new EndpointDirectory(ticker, router);
    }

    /**
     * The last reported status of an engine.
     *
     * @param model the loaded model, empty if unknown
     * @param memoryTokens the KV cache capacity in tokens
     * @param state {@link #SERVING}, {@link #LEAVING} or {@link #DOWN}
     * @param pending the prompt tokens that are waiting for prefill
     */
    record EngineStatus(String model, long memoryTokens, String state, ReportedLoad.Pending pending) {
        static EngineStatus unknown() {
            return new EngineStatus("", 0, SERVING, ReportedLoad.Pending.unclassified(0));
        }
    }

    Router router() {
        return router;
    }

    Map<EndpointId, ListedMember> members() {
        return members;
    }

    Optional<String> address(EndpointId endpoint) {
        return Optional.ofNullable(members.get(endpoint)).map(ListedMember::address);
    }

    Optional<EngineStatus> engineStatus(EndpointId endpoint) {
        return Optional.ofNullable(engineStatuses.get(endpoint));
    }

    void updateMembers(List<ListedMember> listed) {
        Map<EndpointId, ListedMember> current = listed.stream()
                .filter(m -> m.role() != ListedMember.Role.INSTANCE)
                .collect(Collectors.toUnmodifiableMap(m -> EndpointId.of(m.name()), m -> m, (a, _) -> a));
        for (EndpointId gone : members.keySet()) {
            if (!current.containsKey(gone)) {
                router.removeEndpoint(gone);
                engineStatuses.remove(gone);
            }
        }
        members = current;
        current.keySet().forEach(this::refresh);
    }

    void applySettings(Settings next) {
        settings = next;
        Set<ServiceVariant> offered = new HashSet<>();
        for (ServiceName service : next.services()) {
            if (next.isInference(service)) {
                next.models(service).forEach(m -> offered.add(ServiceVariant.of(service, m, "", "")));
            } else {
                offered.add(ServiceVariant.plain(service));
            }
        }
        router.setOffered(offered);
        router.setDrainedDomains(
                next.domains().stream().filter(next::isDrained).collect(Collectors.toUnmodifiableSet()));
        members.keySet().forEach(this::refresh);
    }

    /** Applies a load report read from an endpoint that this instance owns. */
    void reportLoad(EndpointId endpoint, JsonNode load) {
        String state = load.path("leaving").asBoolean() ? LEAVING : SERVING;
        JsonNode byPriority = load.path("pending_prefill_tokens");
        ReportedLoad.Pending pending = new ReportedLoad.Pending(
                byPriority.path("0").asLong(),
                byPriority.path("1").asLong(),
                byPriority.path("2").asLong());
        engineStatuses.put(
                endpoint,
                new EngineStatus(
                        load.path("model").asText(), load.path("kv_limit").asLong(), state, pending));
        refresh(endpoint);
        router.reportLoad(
                endpoint,
                new ReportedLoad(
                        ticker.nanos(),
                        load.path("running").asInt() + load.path("waiting").asInt(),
                        load.path("cold").asBoolean()
                                ? load.path("cold_slots").asInt()
                                : load.path("slots").asInt(),
                        pending,
                        load.path("kv_tokens").asLong()));
    }

    /** Applies the digest of an endpoint from its owner's heartbeat. */
    void applyDigest(PeerMessage.EndpointDigest digest) {
        List<Long> pendingByClass = digest.pendingTokens();
        ReportedLoad.Pending pending = pendingByClass.size() < 3
                ? ReportedLoad.Pending.unclassified(0)
                : new ReportedLoad.Pending(pendingByClass.get(0), pendingByClass.get(1), pendingByClass.get(2));
        engineStatuses.put(
                digest.endpoint(), new EngineStatus(digest.model(), digest.memoryTokens(), digest.state(), pending));
        refresh(digest.endpoint());
        router.reportLoad(
                digest.endpoint(),
                new ReportedLoad(
                        ticker.nanos(),
                        Math.toIntExact(digest.usedSlots()),
                        Math.toIntExact(Math.min(Integer.MAX_VALUE, digest.slotLimit())),
                        pending,
                        digest.usedTokens()));
    }

    /** Applies an event of an engine's prefix cache. */
    void cacheChanged(EndpointId endpoint, JsonNode event) {
        long sequence = event.path("sequence").asLong();
        JsonNode hashes = event.path("blocks");
        long[] blocks = new long[hashes.size()];
        for (int i = 0; i < blocks.length; i++) {
            blocks[i] = hashes.get(i).asLong();
        }
        switch (event.path("kind").asText()) {
            case "stored" -> router.cacheStored(endpoint, sequence, blocks);
            case "evicted" -> router.cacheEvicted(endpoint, sequence, blocks);
            case "cleared" -> router.cacheCleared(endpoint, sequence);
            default -> {
                // A kind of event of a later version. Ignoring it is safe: a stale cache index only makes routing
                // slower.
            }
        }
    }

    /** Marks an endpoint as down. */
    void markDown(EndpointId endpoint) {
        engineStatuses.computeIfPresent(
                endpoint,
                (_, status) -> new EngineStatus(status.model(), status.memoryTokens(), DOWN, status.pending()));
        refresh(endpoint);
    }

    /** Returns whether an operator has drained the endpoint or its failure domain. */
    boolean isDrained(EndpointId endpoint) {
        ListedMember member = members.get(endpoint);
        Settings current = settings;
        return current != null
                && member != null
                && (current.isDrained(endpoint) || current.isDrained(FailureDomain.of(member.domain())));
    }

    private void refresh(EndpointId endpoint) {
        ListedMember member = members.get(endpoint);
        if (member == null) {
            return;
        }
        EngineStatus status = engineStatuses.get(endpoint);
        spec(endpoint, member, status).ifPresent(router::putEndpoint);
        router.setCondition(endpoint, condition(endpoint, member, status));
    }

    private static Optional<EndpointSpec> spec(EndpointId endpoint, ListedMember member, EngineStatus status) {
        FailureDomain domain = FailureDomain.of(member.domain());
        ServiceName service = ServiceName.of(member.service());
        if (member.role() == ListedMember.Role.PLAIN) {
            return Optional.of(
                    EndpointSpec.of(endpoint, domain, Set.of(ServiceVariant.plain(service)), Long.MAX_VALUE));
        }
        if (status == null || status.model().isBlank()) {
            return Optional.empty();
        }
        ServiceVariant variant = ServiceVariant.of(service, ModelName.of(status.model()), "", "");
        return Optional.of(EndpointSpec.of(endpoint, domain, Set.of(variant), status.memoryTokens()));
    }

    private EndpointCondition condition(EndpointId endpoint, ListedMember member, EngineStatus status) {
        if (isDrained(endpoint)) {
            return EndpointCondition.DRAINED;
        }
        if (member.state() == ListedMember.State.LEAVING
                || (status != null && status.state().equals(LEAVING))) {
            return EndpointCondition.LEAVING;
        }
        return status != null && status.state().equals(DOWN)
                ? EndpointCondition.UNAVAILABLE
                : EndpointCondition.SERVING;
    }
}
