package org.jujuberouter.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.RendezvousHash;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerException;
import org.jujuberouter.peer.PeerMessage;
import org.jujuberouter.peer.PeerNetwork;
import org.jujuberouter.quarantine.CrashEvidence;
import org.jujuberouter.quarantine.CrashNotice;
import org.jujuberouter.quarantine.RunArbiter;
import org.jujuberouter.quarantine.RunDecision;

/**
 * Requests permission for a run from the arbiter of its fingerprint, which is the first live instance in rendezvous
 * hashing order.
 *
 * <p>If that instance does not reply, the local arbiter decides. Identical requests may then run concurrently, once for
 * each instance that cannot reach the arbiter; crash marks still isolate and quarantine them.
 */
final class ArbiterClient {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);
    private static final Duration UNRESPONSIVE_ARBITER_PERIOD = Duration.ofSeconds(1);

    private final InstanceId self;
    private final Ticker ticker;
    private final CrashEvidence evidence;
    private final RunArbiter arbiter;
    private final PeerNetwork network;
    private final Supplier<Set<InstanceId>> liveInstances;
    private final UnresponsivePeers unresponsivePeers;

    private ArbiterClient(
            InstanceId self,
            Ticker ticker,
            CrashEvidence evidence,
            PeerNetwork network,
            Supplier<Set<InstanceId>> liveInstances) {
        this.self = self;
        this.ticker = ticker;
        this.evidence = evidence;
        this.arbiter = RunArbiter.of(evidence, ticker);
        this.unresponsivePeers = UnresponsivePeers.of(ticker, UNRESPONSIVE_ARBITER_PERIOD);
        this.network = network;
        this.liveInstances = liveInstances;
    }

    static ArbiterClient create(
            InstanceId self,
            Ticker ticker,
            CrashEvidence evidence,
            PeerNetwork network,
            Supplier<Set<InstanceId>> liveInstances) {
        return new ArbiterClient(self, ticker, evidence, network, liveInstances);
    }

    /** The decision and the arbiter that made it, which must be notified when the run ends. */
    record RunPermission(RunDecision decision, InstanceId arbiter) {}

    RunPermission requestRun(Fingerprint fingerprint, RequestId run, Duration timeLeft) throws InterruptedException {
        InstanceId currentArbiter = arbiterOf(fingerprint);
        if (!currentArbiter.equals(self) && !unresponsivePeers.contains(currentArbiter)) {
            try {
                PeerMessage.RunReply reply = network.call(
                        currentArbiter,
                        new PeerMessage.RunRequest(0, fingerprint, run, timeLeft.toMillis()),
                        CALL_TIMEOUT);
                return new RunPermission(decision(reply), currentArbiter);
            } catch (PeerException e) {
                // The local arbiter decides below. No requests are sent to the unresponsive one for a while, so that
                // it delays few requests.
                unresponsivePeers.add(currentArbiter);
            }
        }
        return new RunPermission(arbiter.request(fingerprint, run, timeLeft), self);
    }

    private RunDecision decision(PeerMessage.RunReply reply) {
        reply.marks().forEach(m -> evidence.merge(fromMessage(m)));
        return switch (reply.verdict()) {
            case RUN -> new RunDecision.Run(List.of());
            case WAIT ->
                new RunDecision.Wait(
                        ticker.nanos() + Duration.ofMillis(reply.waitMillis()).toNanos());
            case REFUSE -> new RunDecision.Refuse();
        };
    }

    /** Decides a run request from a peer. */
    PeerMessage.RunReply onRunRequest(PeerMessage.RunRequest m) {
        RunDecision decision = arbiter.request(m.fingerprint(), m.run(), Duration.ofMillis(m.deadlineMillis()));
        List<PeerMessage.CrashNotice> marks = evidence.noticesFor(m.fingerprint()).stream()
                .map(ArbiterClient::toMessage)
                .toList();
        return switch (decision) {
            case RunDecision.Run _ -> new PeerMessage.RunReply(m.callId(), PeerMessage.RunVerdict.RUN, 0, marks);
            case RunDecision.Wait wait -> {
                long millis = Math.max(1, (wait.untilNanos() - ticker.nanos()) / 1_000_000L);
                yield new PeerMessage.RunReply(m.callId(), PeerMessage.RunVerdict.WAIT, millis, marks);
            }
            case RunDecision.Refuse _ -> new PeerMessage.RunReply(m.callId(), PeerMessage.RunVerdict.REFUSE, 0, marks);
        };
    }

    /** Reports how a run ended to the arbiter that permitted it, and to the current arbiter if that has changed. */
    void reportEnded(
            InstanceId to,
            Fingerprint fingerprint,
            RequestId run,
            PeerMessage.RunOutcome outcome,
            Optional<String> crashId) {
        PeerMessage.RunEnded message = new PeerMessage.RunEnded(fingerprint, run, outcome, crashId);
        send(to, message);
        InstanceId current = arbiterOf(fingerprint);
        if (!current.equals(to)) {
            // The arbiter changed during the run; the new one must learn of a lost endpoint.
            send(current, message);
        }
    }

    private InstanceId arbiterOf(Fingerprint fingerprint) {
        return RendezvousHash.select(fingerprint.value(), liveInstances.get()).orElse(self);
    }

    private void send(InstanceId to, PeerMessage.RunEnded message) {
        if (to.equals(self)) {
            onRunEnded(message);
            return;
        }
        try {
            network.send(to, message);
        } catch (PeerException e) {
            // The arbiter drops the run at the request's deadline.
        }
    }

    void onRunEnded(PeerMessage.RunEnded m) {
        switch (m.outcome()) {
            case COMPLETED -> arbiter.completed(m.fingerprint(), m.run());
            case RELEASED -> arbiter.released(m.fingerprint(), m.run());
            case LOST ->
                m.crashId()
                        .ifPresentOrElse(
                                id -> arbiter.lost(m.fingerprint(), m.run(), id),
                                () -> arbiter.released(m.fingerprint(), m.run()));
            default -> throw new IllegalStateException("unknown run outcome " + m.outcome());
        }
    }

    void expire() {
        arbiter.expire();
        evidence.expire();
    }

    static CrashNotice fromMessage(PeerMessage.CrashNotice m) {
        return new CrashNotice(
                m.crashId(), m.endpoint(), new HashSet<>(m.fingerprints()), Duration.ofMillis(m.ageMillis()));
    }

    static PeerMessage.CrashNotice toMessage(CrashNotice n) {
        return new PeerMessage.CrashNotice(
                n.crashId(), n.endpoint(), List.copyOf(n.inFlight()), n.age().toMillis());
    }
}
