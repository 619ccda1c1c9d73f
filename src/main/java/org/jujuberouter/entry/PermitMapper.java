package org.jujuberouter.entry;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.jujuberouter.admission.Decision;
import org.jujuberouter.admission.Permit;
import org.jujuberouter.admission.PermitEnd;
import org.jujuberouter.admission.PermitRequest;
import org.jujuberouter.admission.PromptClass;
import org.jujuberouter.admission.Refusal;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.peer.PeerMessage;

/** Converts permits of the admission package to and from messages between instances. */
final class PermitMapper {
    private static final String WAITING = "waiting";
    private static final RequestId UNNAMED = RequestId.of("unnamed");

    private PermitMapper() {}

    static PeerMessage.PermitRequest toMessage(EndpointId endpoint, PermitRequest r, Ticker ticker) {
        long remainingMillis = Math.max(0, (r.deadlineNanos() - ticker.nanos()) / 1_000_000L);
        return new PeerMessage.PermitRequest(
                0,
                r.id(),
                new PeerMessage.EndpointTarget(endpoint),
                r.tokens(),
                r.tokens(),
                r.promptClass().name(),
                r.customer(),
                r.weight(),
                r.fingerprint(),
                remainingMillis,
                r.runsAlone());
    }

    /** Converts the request of a peer; empty if this version does not know its prompt class. */
    static Optional<PermitRequest> fromMessage(PeerMessage.PermitRequest m, Incarnation sender, Ticker ticker) {
        return promptClass(m.lane())
                .map(promptClass -> new PermitRequest(
                        m.request(),
                        RunId.parse(m.request()).map(RunId::holder).orElse(sender),
                        m.customer(),
                        Math.max(0.01, m.weight()),
                        promptClass,
                        m.totalTokens(),
                        m.fingerprint(),
                        m.runsAlone(),
                        ticker.nanos() + Duration.ofMillis(m.deadlineMillis()).toNanos()));
    }

    static PeerMessage.PermitDecision toMessage(EndpointId endpoint, Decision decision, String crashId) {
        return switch (decision) {
            case Decision.Granted g ->
                new PeerMessage.PermitGranted(
                        g.permit().serial(), endpoint, g.permit().fence(), Permit.VALIDITY.toMillis(), crashId);
            case Decision.Waiting _ -> new PeerMessage.PermitRefused(WAITING, Optional.empty(), 0);
            case Decision.Refused r ->
                new PeerMessage.PermitRefused(
                        code(r.reason()), r.reason() instanceof Refusal.NotOwner n ? n.hint() : Optional.empty(), 0);
        };
    }

    static Decision fromMessage(PeerMessage.PermitDecision m, PermitRequest request, Ticker ticker) {
        return switch (m) {
            case PeerMessage.PermitGranted g ->
                new Decision.Granted(new Permit(request, g.fencingNumber(), g.permitId(), ticker.nanos()));
            case PeerMessage.PermitRefused r when r.reason().equals(WAITING) -> new Decision.Waiting();
            case PeerMessage.PermitRefused r -> new Decision.Refused(refusal(r));
        };
    }

    private static String code(Refusal refusal) {
        return switch (refusal) {
            case Refusal.NotOwner _ -> "not-owner";
            case Refusal.Drained _ -> "drained";
            case Refusal.Leaving _ -> "leaving";
            case Refusal.NotReporting _ -> "not-reporting";
            case Refusal.NoShare _ -> "no-share";
            case Refusal.DeadlineUnreachable _ -> "deadline";
            case Refusal.TooLarge _ -> "too-large";
            case Refusal.IdenticalRunning _ -> "identical-running";
            case Refusal.MarkedRunning _ -> "marked-running";
            case Refusal.QueueFull _ -> "queue-full";
        };
    }

    private static Refusal refusal(PeerMessage.PermitRefused r) {
        return switch (r.reason()) {
            case "not-owner" -> new Refusal.NotOwner(r.ownerHint());
            case "drained" -> new Refusal.Drained();
            case "leaving" -> new Refusal.Leaving();
            case "no-share" -> new Refusal.NoShare();
            case "deadline" -> new Refusal.DeadlineUnreachable(0);
            case "too-large" -> new Refusal.TooLarge(0);
            case "identical-running" -> new Refusal.IdenticalRunning(UNNAMED);
            case "marked-running" -> new Refusal.MarkedRunning(Optional.empty());
            case "queue-full" -> new Refusal.QueueFull();
            default -> new Refusal.NotReporting();
        };
    }

    static PeerMessage.ReleaseReason toMessage(PermitEnd end) {
        return switch (end) {
            case COMPLETED -> PeerMessage.ReleaseReason.FINISHED;
            case NOT_SENT -> PeerMessage.ReleaseReason.UNUSED;
            case ABANDONED -> PeerMessage.ReleaseReason.CANCELLED;
            case FAILED -> PeerMessage.ReleaseReason.FAILED;
        };
    }

    static PermitEnd fromMessage(PeerMessage.ReleaseReason reason) {
        return switch (reason) {
            case FINISHED -> PermitEnd.COMPLETED;
            case UNUSED -> PermitEnd.NOT_SENT;
            case CANCELLED -> PermitEnd.ABANDONED;
            case FAILED, CRASHED -> PermitEnd.FAILED;
        };
    }

    static PeerMessage.HeldPermit toMessage(PermitRequest r, long serial) {
        return new PeerMessage.HeldPermit(
                serial,
                r.id(),
                r.holder(),
                r.tokens(),
                r.tokens(),
                r.promptClass().name(),
                r.customer(),
                r.fingerprint());
    }

    /** Converts held permits. Deadlines are not transmitted, so a deadline of one hour from now is assumed. */
    static List<Permit> fromMessage(List<PeerMessage.HeldPermit> permits, long fence, Ticker ticker) {
        long assumedDeadlineNanos = ticker.nanos() + Duration.ofHours(1).toNanos();
        return permits.stream()
                .flatMap(p -> promptClass(p.lane()).stream()
                        .map(promptClass -> new Permit(
                                new PermitRequest(
                                        p.request(),
                                        p.holder(),
                                        p.customer(),
                                        1,
                                        promptClass,
                                        p.totalTokens(),
                                        p.fingerprint(),
                                        false,
                                        assumedDeadlineNanos),
                                fence,
                                p.permitId(),
                                ticker.nanos())))
                .toList();
    }

    private static Optional<PromptClass> promptClass(String name) {
        for (PromptClass promptClass : PromptClass.values()) {
            if (promptClass.name().equals(name)) {
                return Optional.of(promptClass);
            }
        }
        return Optional.empty();
    }
}
