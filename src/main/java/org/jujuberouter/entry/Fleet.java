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
 * What this instance knows of all endpoints, kept in step with the router.
 *
 * <p>The list says which endpoints exist. What an engine has loaded and how loaded it is comes from the engine itself when
 * this instance owns it, and otherwise from the owner's heartbeats.
 */
final class Fleet {
    static final String SERVING = "serving";
    static final String LEAVING = "leaving";
    static final String DOWN = "down";

    private final Ticker ticker;
    private final Router router;
    private final Map<EndpointId, Facts> facts = new ConcurrentHashMap<>();
    private volatile Map<EndpointId, ListedMember> listed = Map.of();
    private volatile Settings settings;

    private Fleet(Ticker ticker, Router router) {
        this.ticker = ticker;
        this.router = router;
    }

    static Fleet create(Ticker ticker, Router router) {
        return new Fleet(ticker, router);
    }

    /**
     * What an engine last said.
     *
     * @param model the model it has loaded
     * @param memoryTokens its memory
     * @param state one of the state words
     * @param pending prompt tokens still to process
     */
    record Facts(String model, long memoryTokens, String state, ReportedLoad.Pending pending) {
        static Facts unknown() {
            return new Facts("", 0, SERVING, ReportedLoad.Pending.unclassified(0));
        }
    }

    Router router() {
        return router;
    }

    Map<EndpointId, ListedMember> endpoints() {
        return listed;
    }

    Optional<String> address(EndpointId endpoint) {
        return Optional.ofNullable(listed.get(endpoint)).map(ListedMember::address);
    }

    Optional<Facts> facts(EndpointId endpoint) {
        return Optional.ofNullable(facts.get(endpoint));
    }

    void listed(List<ListedMember> members) {
        Map<EndpointId, ListedMember> now = members.stream()
                .filter(m -> m.role() != ListedMember.Role.INSTANCE)
                .collect(Collectors.toUnmodifiableMap(m -> EndpointId.of(m.name()), m -> m, (a, _) -> a));
        for (EndpointId gone : listed.keySet()) {
            if (!now.containsKey(gone)) {
                router.removeEndpoint(gone);
                facts.remove(gone);
            }
        }
        listed = now;
        now.keySet().forEach(this::refresh);
    }

    void settings(Settings next) {
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
        listed.keySet().forEach(this::refresh);
    }

    /** Takes a report that this instance read from an endpoint that it owns. */
    void reported(EndpointId endpoint, JsonNode load) {
        String state = load.path("leaving").asBoolean() ? LEAVING : SERVING;
        JsonNode byPriority = load.path("pending_prefill_tokens");
        ReportedLoad.Pending pending = new ReportedLoad.Pending(
                byPriority.path("0").asLong(),
                byPriority.path("1").asLong(),
                byPriority.path("2").asLong());
        facts.put(
                endpoint,
                new Facts(load.path("model").asText(), load.path("kv_limit").asLong(), state, pending));
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

    /** Takes what the owner of an endpoint says in its heartbeat. */
    void heard(PeerMessage.EndpointDigest digest) {
        List<Long> lanes = digest.pendingTokens();
        ReportedLoad.Pending pending = lanes.size() < 3
                ? ReportedLoad.Pending.unclassified(0)
                : new ReportedLoad.Pending(lanes.get(0), lanes.get(1), lanes.get(2));
        facts.put(digest.endpoint(), new Facts(digest.model(), digest.memoryTokens(), digest.state(), pending));
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

    /** Takes one event of an engine's prefix cache. */
    void cacheChanged(EndpointId endpoint, JsonNode event) {
        long sequence = event.path("sequence").asLong();
        JsonNode rows = event.path("blocks");
        long[] blocks = new long[rows.size()];
        for (int i = 0; i < blocks.length; i++) {
            blocks[i] = rows.get(i).asLong();
        }
        switch (event.path("kind").asText()) {
            case "stored" -> router.cacheStored(endpoint, sequence, blocks);
            case "evicted" -> router.cacheEvicted(endpoint, sequence, blocks);
            case "cleared" -> router.cacheCleared(endpoint, sequence);
            default -> {
                // A kind of a later version; a cache that is believed wrongly costs only time.
            }
        }
    }

    /** Notes that an endpoint does not answer. */
    void down(EndpointId endpoint) {
        facts.computeIfPresent(endpoint, (_, f) -> new Facts(f.model(), f.memoryTokens(), DOWN, f.pending()));
        refresh(endpoint);
    }

    /** Tells whether operators took the endpoint or its failure domain out of service. */
    boolean isDrained(EndpointId endpoint) {
        ListedMember member = listed.get(endpoint);
        Settings current = settings;
        return current != null
                && member != null
                && (current.isDrained(endpoint) || current.isDrained(FailureDomain.of(member.domain())));
    }

    private void refresh(EndpointId endpoint) {
        ListedMember member = listed.get(endpoint);
        if (member == null) {
            return;
        }
        Facts known = facts.get(endpoint);
        spec(endpoint, member, known).ifPresent(router::putEndpoint);
        router.setCondition(endpoint, condition(endpoint, member, known));
    }

    private static Optional<EndpointSpec> spec(EndpointId endpoint, ListedMember member, Facts known) {
        FailureDomain domain = FailureDomain.of(member.domain());
        ServiceName service = ServiceName.of(member.service());
        if (member.role() == ListedMember.Role.PLAIN) {
            return Optional.of(
                    EndpointSpec.of(endpoint, domain, Set.of(ServiceVariant.plain(service)), Long.MAX_VALUE));
        }
        if (known == null || known.model().isBlank()) {
            return Optional.empty();
        }
        ServiceVariant variant = ServiceVariant.of(service, ModelName.of(known.model()), "", "");
        return Optional.of(EndpointSpec.of(endpoint, domain, Set.of(variant), known.memoryTokens()));
    }

    private EndpointCondition condition(EndpointId endpoint, ListedMember member, Facts known) {
        if (isDrained(endpoint)) {
            return EndpointCondition.DRAINED;
        }
        if (member.state() == ListedMember.State.LEAVING
                || (known != null && known.state().equals(LEAVING))) {
            return EndpointCondition.LEAVING;
        }
        return known != null && known.state().equals(DOWN) ? EndpointCondition.UNAVAILABLE : EndpointCondition.SERVING;
    }
}
