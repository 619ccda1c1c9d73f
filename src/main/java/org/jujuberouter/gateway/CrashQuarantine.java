package org.jujuberouter.gateway;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jujuberouter.catalog.Endpoint;
import org.jujuberouter.control.ControlStore;
import org.jujuberouter.dispatch.CrashAttribution;
import org.jujuberouter.dispatch.SuspectCall;
import org.jujuberouter.http.ListenerProbe;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.RequestTrait;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerCodec;
import org.jujuberouter.peer.PeerMessage;

/**
 * Collects the evidence on requests that crash endpoints, shares it and refuses quarantined requests.
 *
 * <p>An attempt whose connection the endpoint closed before it answered is a suspicion. It becomes evidence if the
 * endpoint refuses connections afterwards, since links and single answers fail as well. Peers are told of a crash at once
 * and say which of the suspect traits they saw answered; after that, traits are quarantined. A quarantine is sent to the
 * peers and written to the store, from which instances of other groups and those that start later learn it.
 */
final class CrashQuarantine {
    /** Time for the other connections to a crashed endpoint to be closed as well. */
    private static final long GATHER_MS = 10;

    private static final int PROBE_TIMEOUT_MS = 200;

    /** Time for the peers to report answers; several times the delay of a message. */
    private static final long ANSWER_REPORTS_MS = 60;

    private static final long STORE_RETRY_MS = 1_000;
    private static final long MAX_STORE_RETRY_MS = 60_000;

    /** Number of traits from which on the own ones are forgotten; a peer or another crash then reports a quarantine. */
    private static final int MAX_OWN_SUSPECTS = 4_096;

    private final Gateway gateway;
    private final EventLoop loop;
    private final Ticker ticker;
    private final CrashAttribution attribution;
    private final ControlStore store;
    private final Consumer<PeerMessage.GatewayMessage> broadcast;
    private final Map<EndpointId, List<SuspectCall>> suspicions = new HashMap<>();
    private final Set<RequestTrait> ownSuspects = new HashSet<>();

    CrashQuarantine(Gateway gateway, ControlStore store, Consumer<PeerMessage.GatewayMessage> broadcast) {
        this.gateway = gateway;
        this.loop = gateway.loop();
        this.ticker = gateway.ticker();
        this.attribution = CrashAttribution.empty(ticker);
        this.store = store;
        this.broadcast = broadcast;
        gateway.metrics().gauge("traits_quarantined", attribution::quarantinedCount);
    }

    /** Returns whether endpoints have crashed under requests, so that answers to whole requests matter. */
    boolean hasEvidence() {
        return attribution.hasCrashes();
    }

    /** Returns whether requests with some trait are refused. */
    boolean hasQuarantined() {
        return attribution.quarantinedCount() > 0;
    }

    /** Returns a quarantined trait among the given ones. */
    Optional<RequestTrait> findQuarantined(List<RequestTrait> traits) {
        return attribution.findQuarantined(traits);
    }

    long remainingMs(RequestTrait trait) {
        return attribution.remainingMs(trait);
    }

    /**
     * Handles an attempt whose connection the endpoint closed before it sent a part of the answer.
     *
     * @param call the call that may have crashed the endpoint
     */
    void attemptCut(Endpoint endpoint, SuspectCall call) {
        List<SuspectCall> known = suspicions.get(endpoint.id());
        if (known != null) {
            known.add(call);
            return;
        }
        suspicions.put(endpoint.id(), new ArrayList<>(List.of(call)));
        long cutAt = ticker.millis();
        loop.schedule(
                () -> ListenerProbe.probe(
                        loop, endpoint.address(), PROBE_TIMEOUT_MS, result -> onProbed(endpoint, cutAt, result)),
                GATHER_MS,
                TimeUnit.MILLISECONDS);
    }

    private void onProbed(Endpoint endpoint, long cutAt, ListenerProbe.Result result) {
        List<SuspectCall> suspects = suspicions.remove(endpoint.id());
        gateway.metrics().crashSuspicion(result.name());
        if (result != ListenerProbe.Result.REFUSED) {
            return;
        }
        long ageMs = ticker.millis() - cutAt;
        List<SuspectCall> listed = suspects.subList(0, Math.min(suspects.size(), PeerCodec.MAX_SUSPECTS));
        gateway.log()
                .stateChanged(
                        "endpoint crashed",
                        Map.entry("endpoint", endpoint.id()),
                        Map.entry("age_ms", ageMs),
                        Map.entry(
                                "suspects",
                                listed.stream().map(SuspectCall::traits).toList()),
                        Map.entry(
                                "sent_ms",
                                listed.stream().map(SuspectCall::sentMs).toList()));
        if (ownSuspects.size() > MAX_OWN_SUSPECTS) {
            ownSuspects.clear();
        }
        listed.forEach(s -> ownSuspects.addAll(s.traits()));
        recordCrash(endpoint.id(), ageMs, listed);
        broadcast.accept(new PeerMessage.EndpointCrashed(
                endpoint.id(),
                ageMs,
                listed.stream()
                        .map(s -> new PeerMessage.SuspectCall(s.traits(), OptionalLong.of(s.sentMs())))
                        .toList()));
        tellOtherGroups(endpoint.id(), listed);
    }

    /** Writes the suspect calls whose parts may be the cause to the store, unless all instances are peers of this one. */
    private void tellOtherGroups(EndpointId endpoint, List<SuspectCall> suspects) {
        List<List<RequestTrait>> withParts = suspects.stream()
                .map(SuspectCall::traits)
                .filter(t -> t.size() > 1)
                .toList();
        if (gateway.groupCount() > 1 && !withParts.isEmpty()) {
            store.writeCrash(endpoint, gateway.instance(), withParts, reason -> {
                if (reason != null) {
                    gateway.log()
                            .stateChanged(
                                    "crash not written", Map.entry("endpoint", endpoint), Map.entry("reason", reason));
                }
            });
        }
    }

    /** Handles a crash that an instance wrote to the store; those of this group are known from its message already. */
    void onStoredCrash(EndpointId endpoint, List<List<RequestTrait>> suspects) {
        attribution.recordStoredCrash(endpoint, suspects);
        scheduleQuarantine();
    }

    private void recordCrash(EndpointId endpoint, long ageMs, List<SuspectCall> suspects) {
        attribution.recordCrash(endpoint, ageMs, suspects);
        scheduleQuarantine();
    }

    private void scheduleQuarantine() {
        loop.schedule(this::quarantineSuspects, ANSWER_REPORTS_MS, TimeUnit.MILLISECONDS);
    }

    private void quarantineSuspects() {
        for (RequestTrait trait : attribution.quarantine()) {
            logQuarantined(trait, "crashes");
            if (ownSuspects.contains(trait)) {
                // The other instances of the group come to the same conclusion; one report of it is enough for the
                // rest.
                broadcast.accept(new PeerMessage.TraitQuarantined(trait, attribution.remainingMs(trait)));
                write(trait, STORE_RETRY_MS);
            }
            gateway.endQuarantinedCalls();
        }
    }

    private void write(RequestTrait trait, long retryMs) {
        store.writeQuarantine(trait, attribution.remainingMs(trait), reason -> {
            if (reason != null) {
                gateway.log()
                        .stateChanged("quarantine not written", Map.entry("trait", trait), Map.entry("reason", reason));
                loop.schedule(() -> writeAgain(trait, retryMs), retryMs, TimeUnit.MILLISECONDS);
            }
        });
    }

    private void writeAgain(RequestTrait trait, long retryMs) {
        if (attribution.remainingMs(trait) > 0) {
            write(trait, Math.min(2 * retryMs, MAX_STORE_RETRY_MS));
        }
    }

    private void logQuarantined(RequestTrait trait, String source) {
        gateway.log()
                .stateChanged(
                        "trait quarantined",
                        Map.entry("trait", trait),
                        Map.entry("source", source),
                        Map.entry("remaining_ms", attribution.remainingMs(trait)));
    }

    /** Records that an endpoint has begun to answer a call with the traits. */
    void answered(List<RequestTrait> traits) {
        for (RequestTrait trait : attribution.recordAnswer(traits, 0)) {
            broadcast.accept(new PeerMessage.TraitAnswered(trait, 0));
        }
    }

    /** Handles evidence or a quarantine from a peer. */
    void onPeerMessage(PeerMessage.CrashMessage message) {
        switch (message) {
            case PeerMessage.EndpointCrashed m -> {
                List<SuspectCall> suspects =
                        m.suspects().stream().map(CrashQuarantine::suspectCall).toList();
                recordCrash(m.endpoint(), m.ageMillis(), suspects);
                suspects.stream()
                        .flatMap(s -> s.traits().stream())
                        .distinct()
                        .forEach(t -> attribution
                                .answeredAgoMs(t)
                                .ifPresent(age -> broadcast.accept(new PeerMessage.TraitAnswered(t, age))));
            }
            case PeerMessage.TraitAnswered m -> attribution.recordAnswer(List.of(m.trait()), m.ageMillis());
            case PeerMessage.TraitQuarantined m -> onQuarantined(m.trait(), m.remainingMillis(), "peer");
        }
    }

    private static SuspectCall suspectCall(PeerMessage.SuspectCall call) {
        return call.sentMillis().isPresent()
                ? SuspectCall.of(call.traits(), call.sentMillis().getAsLong())
                : SuspectCall.ofUnknownTime(call.traits());
    }

    /** Handles a quarantine in the store. */
    void onStored(RequestTrait trait) {
        onQuarantined(trait, CrashAttribution.QUARANTINE_MS, "store");
    }

    private void onQuarantined(RequestTrait trait, long remainingMs, String source) {
        if (attribution.remainingMs(trait) > 0) {
            return;
        }
        attribution.setQuarantined(trait, remainingMs);
        logQuarantined(trait, source);
        gateway.endQuarantinedCalls();
    }

    /** Handles the removal of a quarantine from the store, by its lease or by an operator. */
    void onRemoved(RequestTrait trait) {
        attribution.end(trait);
        gateway.log().stateChanged("quarantine ended", Map.entry("trait", trait));
    }
}
