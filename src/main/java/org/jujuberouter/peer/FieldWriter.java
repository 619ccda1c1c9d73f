package org.jujuberouter.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.RequestTrait;
import org.jujuberouter.peer.PeerException.Kind;
import org.jujuberouter.peer.PeerMessage.ClearNotice;
import org.jujuberouter.peer.PeerMessage.ContactQuery;
import org.jujuberouter.peer.PeerMessage.ContactReport;
import org.jujuberouter.peer.PeerMessage.CrashNotice;
import org.jujuberouter.peer.PeerMessage.CustomerDemand;
import org.jujuberouter.peer.PeerMessage.EndpointCrashed;
import org.jujuberouter.peer.PeerMessage.EndpointDigest;
import org.jujuberouter.peer.PeerMessage.EndpointFailed;
import org.jujuberouter.peer.PeerMessage.EndpointTarget;
import org.jujuberouter.peer.PeerMessage.GatewayMessage;
import org.jujuberouter.peer.PeerMessage.Handover;
import org.jujuberouter.peer.PeerMessage.Heartbeat;
import org.jujuberouter.peer.PeerMessage.HeldPermit;
import org.jujuberouter.peer.PeerMessage.Hello;
import org.jujuberouter.peer.PeerMessage.HolderQuery;
import org.jujuberouter.peer.PeerMessage.HolderReport;
import org.jujuberouter.peer.PeerMessage.PermitDecision;
import org.jujuberouter.peer.PeerMessage.PermitGranted;
import org.jujuberouter.peer.PeerMessage.PermitRefused;
import org.jujuberouter.peer.PeerMessage.PermitRelease;
import org.jujuberouter.peer.PeerMessage.PermitReply;
import org.jujuberouter.peer.PeerMessage.PermitRequest;
import org.jujuberouter.peer.PeerMessage.PermitStage;
import org.jujuberouter.peer.PeerMessage.PermitTarget;
import org.jujuberouter.peer.PeerMessage.RunEnded;
import org.jujuberouter.peer.PeerMessage.RunReply;
import org.jujuberouter.peer.PeerMessage.RunRequest;
import org.jujuberouter.peer.PeerMessage.ServiceTarget;
import org.jujuberouter.peer.PeerMessage.SettingsPull;
import org.jujuberouter.peer.PeerMessage.SettingsPush;
import org.jujuberouter.peer.PeerMessage.SuspectCall;
import org.jujuberouter.peer.PeerMessage.TraitAnswered;
import org.jujuberouter.peer.PeerMessage.TraitQuarantined;
import org.jujuberouter.peer.PeerMessage.WorkEnded;
import org.jujuberouter.peer.PeerMessage.WorkPart;
import org.jujuberouter.peer.PeerMessage.WorkRead;
import org.jujuberouter.peer.PeerMessage.WorkStarted;
import org.msgpack.core.MessagePacker;

/** Writes messages field by field; the counterpart of the decoder in {@link PeerCodec}. */
final class FieldWriter {
    private final MessagePacker out;

    FieldWriter(MessagePacker out) {
        this.out = out;
    }

    void message(PeerMessage message) throws IOException, PeerException {
        switch (message) {
            case Hello m ->
                messageHeader(PeerCodec.HELLO, 5)
                        .text(Hello.MAGIC)
                        .number(m.version())
                        .incarnation(m.sender())
                        .text(m.domain());
            case Heartbeat m -> heartbeat(m);
            case PermitRequest m -> permitRequest(m);
            case PermitReply m ->
                messageHeader(PeerCodec.PERMIT_REPLY, 2).number(m.callId()).decision(m.decision());
            case PermitRelease m ->
                messageHeader(PeerCodec.PERMIT_RELEASE, 5)
                        .number(m.permitId())
                        .number(m.fencingNumber())
                        .text(m.endpoint())
                        .text(m.request())
                        .number(m.reason().ordinal());
            case Handover m -> handover(m);
            case PermitStage m ->
                messageHeader(PeerCodec.PERMIT_STAGE, 3)
                        .text(m.endpoint())
                        .text(m.request())
                        .number(m.stage().ordinal());
            case HolderQuery m ->
                messageHeader(PeerCodec.HOLDER_QUERY, 2).text(m.endpoint()).tickerTime(m.queryNanos());
            case HolderReport m -> {
                messageHeader(PeerCodec.HOLDER_REPORT, 3).text(m.endpoint()).tickerTime(m.queryNanos());
                permits(m.permits());
            }
            case CrashNotice m -> messageHeader(PeerCodec.CRASH_NOTICE, 4).crashNotice(m);
            case ClearNotice m -> clearNotice(m);
            case RunRequest m ->
                messageHeader(PeerCodec.RUN_REQUEST, 4)
                        .number(m.callId())
                        .text(m.fingerprint())
                        .text(m.run())
                        .number(m.deadlineMillis());
            case RunReply m -> runReply(m);
            case RunEnded m ->
                messageHeader(PeerCodec.RUN_ENDED, 4)
                        .text(m.fingerprint())
                        .text(m.run())
                        .number(m.outcome().ordinal())
                        .textOrNil(m.crashId().orElse(null));
            case SettingsPull m -> messageHeader(PeerCodec.SETTINGS_PULL, 1).number(m.version());
            case SettingsPush m -> {
                PeerCodec.requireAtMost("document size", m.document().length, PeerCodec.MAX_DOCUMENT_BYTES);
                messageHeader(PeerCodec.SETTINGS_PUSH, 2).number(m.version());
                out.packBinaryHeader(m.document().length).writePayload(m.document());
            }
            case GatewayMessage m -> gatewayMessage(m);
        }
    }

    private void gatewayMessage(GatewayMessage message) throws IOException, PeerException {
        switch (message) {
            case WorkStarted m -> {
                messageHeader(PeerCodec.WORK_STARTED, 6).text(m.request()).number(m.remainingMillis());
                list("parts", PeerCodec.MAX_PARTS, m.parts());
                for (WorkPart p : m.parts()) {
                    out.packArrayHeader(7);
                    text(p.endpoint());
                    out.packBoolean(p.holdsSlot());
                    number(p.prefillMicros())
                            .number(p.memoryTokens())
                            .number(p.objectiveMillis())
                            .number(p.maxGapMillis())
                            .decimal(p.weight());
                }
                number(m.workMicros())
                        .number(m.waitedMillis())
                        .textOrNil(m.customer().orElse(null));
            }
            case WorkRead m ->
                messageHeader(PeerCodec.WORK_READ, 3)
                        .text(m.request())
                        .text(m.endpoint())
                        .number(m.delayMillis());
            case WorkEnded m -> messageHeader(PeerCodec.WORK_ENDED, 1).text(m.request());
            case ContactQuery m ->
                messageHeader(PeerCodec.CONTACT_QUERY, 2)
                        .tickerTime(m.queryNanos())
                        .number(m.unreadyMillis());
            case ContactReport m ->
                messageHeader(PeerCodec.CONTACT_REPORT, 7)
                        .tickerTime(m.queryNanos())
                        .number(m.ageMillis())
                        .number(m.configuration())
                        .number(m.viewAgeMillis())
                        .number(m.position().revision())
                        .number(m.unreadyMillis())
                        .number(m.position().era());
            case EndpointFailed m -> messageHeader(PeerCodec.ENDPOINT_FAILED, 1).text(m.endpoint());
            case EndpointCrashed m -> endpointCrashed(m);
            case TraitAnswered m ->
                messageHeader(PeerCodec.TRAIT_ANSWERED, 2).text(m.trait()).number(m.ageMillis());
            case TraitQuarantined m ->
                messageHeader(PeerCodec.TRAIT_QUARANTINED, 2).text(m.trait()).number(m.remainingMillis());
            case PeerMessage.DutyReport m -> DutyFields.write(messageHeader(PeerCodec.DUTY_REPORT, 5), m.report());
            case PeerMessage.DutyReply m -> DutyFields.write(messageHeader(PeerCodec.DUTY_REPLY, 3), m.reply());
        }
    }

    private void endpointCrashed(EndpointCrashed m) throws IOException, PeerException {
        boolean withTimes = m.suspects().stream().allMatch(s -> s.sentMillis().isPresent());
        messageHeader(PeerCodec.ENDPOINT_CRASHED, withTimes ? 4 : 3)
                .text(m.endpoint())
                .number(m.ageMillis());
        list("suspects", PeerCodec.MAX_SUSPECTS, m.suspects());
        for (SuspectCall call : m.suspects()) {
            list("traits", PeerCodec.MAX_TRAITS, call.traits());
            for (RequestTrait trait : call.traits()) {
                text(trait);
            }
        }
        if (withTimes) {
            list("times", PeerCodec.MAX_SUSPECTS, m.suspects());
            for (SuspectCall call : m.suspects()) {
                number(call.sentMillis().getAsLong());
            }
        }
    }

    private void clearNotice(ClearNotice m) throws IOException, PeerException {
        messageHeader(PeerCodec.CLEAR_NOTICE, 3).text(m.fingerprint());
        list("crash ids", PeerCodec.MAX_CRASHES, m.crashIds());
        for (String id : m.crashIds()) {
            text(id);
        }
        number(m.ageMillis());
    }

    private void runReply(RunReply m) throws IOException, PeerException {
        messageHeader(PeerCodec.RUN_REPLY, 4)
                .number(m.callId())
                .number(m.verdict().ordinal())
                .number(m.waitMillis());
        list("marks", PeerCodec.MAX_CRASHES, m.marks());
        for (CrashNotice mark : m.marks()) {
            out.packArrayHeader(4);
            crashNotice(mark);
        }
    }

    private void crashNotice(CrashNotice m) throws IOException, PeerException {
        text(m.crashId()).text(m.endpoint());
        list("fingerprints", PeerCodec.MAX_FINGERPRINTS, m.fingerprints());
        for (var f : m.fingerprints()) {
            text(f);
        }
        number(m.ageMillis());
    }

    private void heartbeat(Heartbeat m) throws IOException, PeerException {
        messageHeader(PeerCodec.HEARTBEAT, 5).number(m.sequence()).number(m.settingsVersion());
        list("endpoints", PeerCodec.MAX_ENDPOINTS, m.endpoints());
        for (EndpointDigest e : m.endpoints()) {
            out.packArrayHeader(9);
            text(e.endpoint())
                    .number(e.usedSlots())
                    .number(e.slotLimit())
                    .number(e.usedTokens())
                    .number(e.tokenLimit())
                    .text(e.state())
                    .text(e.model())
                    .number(e.memoryTokens());
            list("pending tokens", PeerCodec.MAX_PROMPT_CLASSES, e.pendingTokens());
            for (long tokens : e.pendingTokens()) {
                number(tokens);
            }
        }
        list("demand", PeerCodec.MAX_DEMAND, m.demand());
        for (CustomerDemand d : m.demand()) {
            out.packArrayHeader(6);
            text(d.customer())
                    .text(d.service())
                    .decimal(d.requestsPerSecond())
                    .decimal(d.tokensPerSecond())
                    .number(d.activeLongPrompts())
                    .number(d.refusedLongPrompts());
        }
        out.packBoolean(m.leaving());
    }

    private void permitRequest(PermitRequest m) throws IOException, PeerException {
        messageHeader(PeerCodec.PERMIT_REQUEST, 11)
                .number(m.callId())
                .text(m.request())
                .target(m.target())
                .number(m.promptTokens())
                .number(m.totalTokens())
                .text(m.lane())
                .text(m.customer())
                .decimal(m.weight())
                .text(m.fingerprint())
                .number(m.deadlineMillis());
        out.packBoolean(m.runsAlone());
    }

    private void handover(Handover m) throws IOException, PeerException {
        messageHeader(PeerCodec.HANDOVER, 3).text(m.endpoint()).number(m.fencingNumber());
        permits(m.permits());
    }

    private void permits(Collection<HeldPermit> permits) throws IOException, PeerException {
        list("permits", PeerCodec.MAX_PERMITS, permits);
        for (HeldPermit p : permits) {
            out.packArrayHeader(9);
            number(p.permitId())
                    .text(p.request())
                    .incarnation(p.holder())
                    .number(p.promptTokens())
                    .number(p.totalTokens())
                    .text(p.lane())
                    .text(p.customer())
                    .text(p.fingerprint());
        }
    }

    private FieldWriter target(PermitTarget target) throws IOException, PeerException {
        out.packArrayHeader(3);
        switch (target) {
            case EndpointTarget t -> {
                number(PeerCodec.AT_ENDPOINT).text(t.endpoint());
                out.packNil();
            }
            case ServiceTarget t ->
                number(PeerCodec.ANY_OF).text(t.service()).textOrNil(t.model().orElse(null));
        }
        return this;
    }

    private void decision(PermitDecision decision) throws IOException, PeerException {
        out.packArrayHeader(6);
        switch (decision) {
            case PermitGranted g ->
                number(PeerCodec.GRANTED)
                        .number(g.permitId())
                        .text(g.endpoint())
                        .number(g.fencingNumber())
                        .number(g.validMillis())
                        .text(g.crashId());
            case PermitRefused r -> {
                number(PeerCodec.REFUSED)
                        .text(r.reason())
                        .textOrNil(r.ownerHint().orElse(null))
                        .number(r.retryAfterMillis());
                out.packNil();
                out.packNil();
            }
        }
    }

    FieldWriter messageHeader(int type, int fields) throws IOException {
        out.packArrayHeader(fields + 1).packInt(type);
        return this;
    }

    FieldWriter incarnation(Incarnation incarnation) throws IOException, PeerException {
        return text(incarnation.instance()).number(incarnation.number());
    }

    /** Writes a ticker time, which may be negative because the origin of a ticker is arbitrary. */
    FieldWriter tickerTime(long nanos) throws IOException {
        out.packLong(nanos);
        return this;
    }

    FieldWriter number(long value) throws IOException, PeerException {
        if (value < 0) {
            throw PeerException.of(Kind.MALFORMED, "number", "the number " + value + " is negative");
        }
        out.packLong(value);
        return this;
    }

    FieldWriter decimal(double value) throws IOException, PeerException {
        if (!(value >= 0) || Double.isInfinite(value)) {
            throw PeerException.of(Kind.MALFORMED, "number", "the number " + value + " is not finite and at least 0");
        }
        out.packDouble(value);
        return this;
    }

    /** Writes an id or a string as text. */
    FieldWriter text(Object value) throws IOException, PeerException {
        byte[] bytes = value.toString().getBytes(StandardCharsets.UTF_8);
        PeerCodec.requireAtMost("text size", bytes.length, PeerCodec.MAX_TEXT_BYTES);
        out.packRawStringHeader(bytes.length).writePayload(bytes);
        return this;
    }

    private FieldWriter textOrNil(Object value) throws IOException, PeerException {
        if (value == null) {
            out.packNil();
            return this;
        }
        return text(value);
    }

    /** Starts a nested group of fields. */
    FieldWriter group(int fields) throws IOException {
        out.packArrayHeader(fields);
        return this;
    }

    void list(String what, int limit, Collection<?> values) throws IOException, PeerException {
        PeerCodec.requireAtMost("count of " + what, values.size(), limit);
        out.packArrayHeader(values.size());
    }
}
