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
import org.jujuberouter.misc.Rendezvous;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerException;
import org.jujuberouter.peer.PeerMessage;
import org.jujuberouter.peer.PeerNetwork;
import org.jujuberouter.quarantine.CrashEvidence;
import org.jujuberouter.quarantine.CrashNotice;
import org.jujuberouter.quarantine.RunArbiter;
import org.jujuberouter.quarantine.RunDecision;

/**
 * Asks the arbiter of a fingerprint for consent to a run: the first live instance in rendezvous order.
 *
 * <p>When that instance does not answer, this instance's own arbiter decides. Identical requests may then run once for each
 * instance that cannot reach the arbiter; crash marks still isolate and convict them.
 */
final class RunConsent {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(500);
    private static final Duration SILENT_ARBITER_TIME = Duration.ofSeconds(1);

    private final InstanceId self;
    private final Ticker ticker;
    private final CrashEvidence evidence;
    private final RunArbiter arbiter;
    private final PeerNetwork network;
    private final Supplier<Set<InstanceId>> live;
    private final SilentPeers silent;

    private RunConsent(
            InstanceId self,
            Ticker ticker,
            CrashEvidence evidence,
            PeerNetwork network,
            Supplier<Set<InstanceId>> live) {
        this.self = self;
        this.ticker = ticker;
        this.evidence = evidence;
        this.arbiter = RunArbiter.of(evidence, ticker);
        this.silent = SilentPeers.of(ticker, SILENT_ARBITER_TIME);
        this.network = network;
        this.live = live;
    }

    static RunConsent create(
            InstanceId self,
            Ticker ticker,
            CrashEvidence evidence,
            PeerNetwork network,
            Supplier<Set<InstanceId>> live) {
        return new RunConsent(self, ticker, evidence, network, live);
    }

    /** What the arbiter said, and who it is, to be told how the run ended. */
    record Consent(RunDecision decision, InstanceId arbiter) {}

    Consent ask(Fingerprint fingerprint, RequestId run, Duration timeLeft) throws InterruptedException {
        InstanceId first = arbiterOf(fingerprint);
        if (!first.equals(self) && !silent.contains(first)) {
            try {
                PeerMessage.RunReply reply = network.call(
                        first, new PeerMessage.RunRequest(0, fingerprint, run, timeLeft.toMillis()), CALL_TIMEOUT);
                return new Consent(decision(reply), first);
            } catch (PeerException e) {
                // The own arbiter decides below, and for a while without asking, so that a frozen one delays few
                // requests.
                silent.note(first);
            }
        }
        return new Consent(arbiter.request(fingerprint, run, timeLeft), self);
    }

    private RunDecision decision(PeerMessage.RunReply reply) {
        reply.marks().forEach(m -> evidence.merge(notice(m)));
        return switch (reply.verdict()) {
            case RUN -> new RunDecision.Run(List.of());
            case WAIT ->
                new RunDecision.Wait(
                        ticker.nanos() + Duration.ofMillis(reply.waitMillis()).toNanos());
            case REFUSE -> new RunDecision.Refuse();
        };
    }

    /** Answers a peer that asks this instance. */
    PeerMessage.RunReply answer(PeerMessage.RunRequest m) {
        RunDecision decision = arbiter.request(m.fingerprint(), m.run(), Duration.ofMillis(m.deadlineMillis()));
        List<PeerMessage.CrashNotice> marks = evidence.noticesFor(m.fingerprint()).stream()
                .map(RunConsent::message)
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

    /** Tells the arbiter that gave its consent how a run ended, and the present one if it is another. */
    void ended(
            InstanceId who,
            Fingerprint fingerprint,
            RequestId run,
            PeerMessage.RunOutcome ending,
            Optional<String> crashId) {
        PeerMessage.RunEnded message = new PeerMessage.RunEnded(fingerprint, run, ending, crashId);
        tell(who, message);
        InstanceId now = arbiterOf(fingerprint);
        if (!now.equals(who)) {
            // The arbiter was replaced during the run; the new one has to know of a lost endpoint.
            tell(now, message);
        }
    }

    private InstanceId arbiterOf(Fingerprint fingerprint) {
        return Rendezvous.first(fingerprint.value(), live.get()).orElse(self);
    }

    private void tell(InstanceId who, PeerMessage.RunEnded message) {
        if (who.equals(self)) {
            note(message);
            return;
        }
        try {
            network.send(who, message);
        } catch (PeerException e) {
            // The arbiter forgets the run at the request's deadline.
        }
    }

    void note(PeerMessage.RunEnded m) {
        switch (m.outcome()) {
            case COMPLETED -> arbiter.completed(m.fingerprint(), m.run());
            case RELEASED -> arbiter.released(m.fingerprint(), m.run());
            case LOST ->
                m.crashId()
                        .ifPresentOrElse(
                                id -> arbiter.lost(m.fingerprint(), m.run(), id),
                                () -> arbiter.released(m.fingerprint(), m.run()));
            default -> throw new IllegalStateException("unknown ending " + m.outcome());
        }
    }

    void expire() {
        arbiter.expire();
        evidence.expire();
    }

    static CrashNotice notice(PeerMessage.CrashNotice m) {
        return new CrashNotice(
                m.crashId(), m.endpoint(), new HashSet<>(m.fingerprints()), Duration.ofMillis(m.ageMillis()));
    }

    static PeerMessage.CrashNotice message(CrashNotice n) {
        return new PeerMessage.CrashNotice(
                n.crashId(), n.endpoint(), List.copyOf(n.inFlight()), n.age().toMillis());
    }
}
