package org.jujuberouter.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.ModelName;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.RequestTrait;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.peer.PeerException.Kind;
import org.jujuberouter.peer.PeerMessage.ClearNotice;
import org.jujuberouter.peer.PeerMessage.ContactQuery;
import org.jujuberouter.peer.PeerMessage.ContactReport;
import org.jujuberouter.peer.PeerMessage.CrashNotice;
import org.jujuberouter.peer.PeerMessage.CustomerDemand;
import org.jujuberouter.peer.PeerMessage.DutyReply;
import org.jujuberouter.peer.PeerMessage.DutyReport;
import org.jujuberouter.peer.PeerMessage.EndpointCrashed;
import org.jujuberouter.peer.PeerMessage.EndpointDigest;
import org.jujuberouter.peer.PeerMessage.EndpointFailed;
import org.jujuberouter.peer.PeerMessage.EndpointTarget;
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
import org.jujuberouter.peer.PeerMessage.ReleaseReason;
import org.jujuberouter.peer.PeerMessage.RunEnded;
import org.jujuberouter.peer.PeerMessage.RunOutcome;
import org.jujuberouter.peer.PeerMessage.RunReply;
import org.jujuberouter.peer.PeerMessage.RunRequest;
import org.jujuberouter.peer.PeerMessage.RunVerdict;
import org.jujuberouter.peer.PeerMessage.ServiceTarget;
import org.jujuberouter.peer.PeerMessage.SettingsPull;
import org.jujuberouter.peer.PeerMessage.SettingsPush;
import org.jujuberouter.peer.PeerMessage.Stage;
import org.jujuberouter.peer.PeerMessage.SuspectCall;
import org.jujuberouter.peer.PeerMessage.TraitAnswered;
import org.jujuberouter.peer.PeerMessage.TraitQuarantined;
import org.jujuberouter.peer.PeerMessage.WorkEnded;
import org.jujuberouter.peer.PeerMessage.WorkPart;
import org.jujuberouter.peer.PeerMessage.WorkRead;
import org.jujuberouter.peer.PeerMessage.WorkStarted;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/**
 * Encodes and decodes the content of a frame.
 *
 * <p>A message is an array of the type number and the fields in order. Fields have no names, which keeps a permit
 * request near 100 bytes. Readers skip fields after those that they know, so that a field can be added at the end
 * without a new major version.
 */
public final class PeerCodec {
    /** The maximum size of the frame content in bytes. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    /** The maximum size of a settings document in bytes; the rest of the frame is for the other fields. */
    public static final int MAX_DOCUMENT_BYTES = MAX_FRAME_BYTES - 64;

    /** The maximum size of a text field in UTF-8 bytes. */
    public static final int MAX_TEXT_BYTES = 256;

    /** The maximum number of customers in the demand of a heartbeat. */
    public static final int MAX_DEMAND = 32;

    /** The maximum number of endpoints in a heartbeat; one instance may own all 1,400 endpoints of the design size. */
    public static final int MAX_ENDPOINTS = 2048;

    /**
     * The maximum number of permits in a handover; a permit takes 150 bytes, or 1.1 KiB with texts of maximum length.
     */
    public static final int MAX_PERMITS = 4096;

    /** The maximum number of fingerprints in a crash notice. */
    public static final int MAX_FINGERPRINTS = 2048;

    /** The maximum number of prompt classes whose pending tokens a digest reports. */
    public static final int MAX_PROMPT_CLASSES = 8;

    /** The maximum number of crashes that a message lists for a fingerprint; two are enough to quarantine it. */
    public static final int MAX_CRASHES = 64;

    /** The maximum number of endpoints that a call uses: the one that responds and its helpers, with headroom. */
    public static final int MAX_PARTS = 64;

    /** The maximum number of calls that a message lists for a crash; an endpoint runs fewer at a time. */
    public static final int MAX_SUSPECTS = 64;

    /** The maximum number of traits of a call: the parts of its prompt that count, and the whole request. */
    public static final int MAX_TRAITS = 32;

    /** The maximum number of windows and sources in a duty report; those of 12 windows and a few departed instances. */
    public static final int MAX_WINDOWS = 1024;

    /** The maximum number of customers in a window; a report of two windows of this size fits into a frame. */
    public static final int MAX_CUSTOMERS = 8192;

    /** The maximum number of services in a duty report. */
    public static final int MAX_SERVICES = 1024;

    /** The size of the length prefix of a frame. */
    static final int LENGTH_BYTES = 4;

    static final int HELLO = 0;
    static final int HEARTBEAT = 1;
    static final int PERMIT_REQUEST = 2;
    static final int PERMIT_REPLY = 3;
    static final int PERMIT_RELEASE = 4;
    static final int HANDOVER = 5;
    static final int CRASH_NOTICE = 6;
    static final int SETTINGS_PULL = 7;
    static final int SETTINGS_PUSH = 8;
    static final int PERMIT_STAGE = 9;
    static final int HOLDER_REPORT = 10;
    static final int CLEAR_NOTICE = 11;
    static final int RUN_REQUEST = 12;
    static final int RUN_REPLY = 13;
    static final int RUN_ENDED = 14;
    static final int HOLDER_QUERY = 15;
    static final int WORK_STARTED = 16;
    static final int WORK_READ = 17;
    static final int WORK_ENDED = 18;
    static final int CONTACT_QUERY = 19;
    static final int CONTACT_REPORT = 20;
    static final int ENDPOINT_FAILED = 21;
    static final int ENDPOINT_CRASHED = 22;
    static final int TRAIT_ANSWERED = 23;
    static final int TRAIT_QUARANTINED = 24;
    static final int DUTY_REPORT = 25;
    static final int DUTY_REPLY = 26;

    static final int AT_ENDPOINT = 0;
    static final int ANY_OF = 1;
    static final int GRANTED = 0;
    static final int REFUSED = 1;

    private PeerCodec() {}

    /** Returns the frame content of the message. */
    public static byte[] encode(PeerMessage message) throws PeerException {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            new FieldWriter(out).message(message);
            byte[] bytes = out.toByteArray();
            requireAtMost("frame size", bytes.length, MAX_FRAME_BYTES);
            return bytes;
        } catch (IOException e) {
            throw new UncheckedIOException("encoding into memory failed", e);
        }
    }

    /** Returns the message in the frame content. */
    public static PeerMessage decode(byte[] frame) throws PeerException {
        requireAtMost("frame size", frame.length, MAX_FRAME_BYTES);
        FieldReader in = new FieldReader(frame);
        try {
            int fields = in.arrayHeader();
            if (fields == 0) {
                throw PeerException.of(Kind.MALFORMED, "message", "the type is missing");
            }
            PeerMessage message = read(in, fields - 1);
            in.requireEnd();
            return message;
        } catch (MessageInsufficientBufferException e) {
            throw PeerException.of(Kind.TRUNCATED, "the message");
        } catch (MessagePackException | IOException e) {
            throw PeerException.malformed("message", e);
        }
    }

    private static PeerMessage read(FieldReader in, int fields) throws IOException, PeerException {
        long type = in.number("type");
        return switch ((int) Math.min(type, Integer.MAX_VALUE)) {
            case HELLO -> hello(in, fields);
            case HEARTBEAT -> readFields(in, "Heartbeat", fields, 5, PeerCodec::heartbeat);
            case PERMIT_REQUEST -> readFields(in, "PermitRequest", fields, 11, PeerCodec::permitRequest);
            case PERMIT_REPLY ->
                readFields(in, "PermitReply", fields, 2, r -> new PermitReply(r.number("call id"), decision(r)));
            case PERMIT_RELEASE -> readFields(in, "PermitRelease", fields, 5, PeerCodec::permitRelease);
            case HANDOVER -> readFields(in, "Handover", fields, 3, PeerCodec::handover);
            case CRASH_NOTICE -> readFields(in, "CrashNotice", fields, 4, PeerCodec::crashNotice);
            case SETTINGS_PULL -> readFields(in, "SettingsPull", fields, 1, r -> new SettingsPull(r.number("version")));
            case SETTINGS_PUSH ->
                readFields(
                        in, "SettingsPush", fields, 2, r -> new SettingsPush(r.number("version"), r.bytes("document")));
            case PERMIT_STAGE, HOLDER_QUERY, HOLDER_REPORT -> readHolderMessage(in, fields, (int) type);
            case CLEAR_NOTICE, RUN_REQUEST, RUN_REPLY, RUN_ENDED -> readRunMessage(in, fields, (int) type);
            default -> readGatewayMessage(in, fields, (int) Math.min(type, Integer.MAX_VALUE));
        };
    }

    private static PeerMessage readGatewayMessage(FieldReader in, int fields, int type)
            throws IOException, PeerException {
        return switch (type) {
            case WORK_STARTED -> workStarted(in, fields);
            case WORK_READ ->
                readFields(
                        in,
                        "WorkRead",
                        fields,
                        3,
                        r -> new WorkRead(
                                r.id("request", RequestId::of), r.id("endpoint", EndpointId::of), r.number("delay")));
            case WORK_ENDED ->
                readFields(in, "WorkEnded", fields, 1, r -> new WorkEnded(r.id("request", RequestId::of)));
            case CONTACT_QUERY ->
                // Older builds send the first field only.
                fields >= 2
                        ? readFields(
                                in,
                                "ContactQuery",
                                fields,
                                2,
                                r -> new ContactQuery(r.tickerTime(), r.number("unready time")))
                        : readFields(in, "ContactQuery", fields, 1, r -> new ContactQuery(r.tickerTime()));
            case CONTACT_REPORT -> contactReport(in, fields);
            case ENDPOINT_FAILED ->
                readFields(in, "EndpointFailed", fields, 1, r -> new EndpointFailed(r.id("endpoint", EndpointId::of)));
            case ENDPOINT_CRASHED -> endpointCrashed(in, fields);
            case TRAIT_ANSWERED ->
                readFields(
                        in,
                        "TraitAnswered",
                        fields,
                        2,
                        r -> new TraitAnswered(r.id("trait", RequestTrait::of), r.number("age")));
            case TRAIT_QUARANTINED ->
                readFields(
                        in,
                        "TraitQuarantined",
                        fields,
                        2,
                        r -> new TraitQuarantined(r.id("trait", RequestTrait::of), r.number("time left")));
            case DUTY_REPORT -> readFields(in, "DutyReport", fields, 5, r -> new DutyReport(DutyFields.readReport(r)));
            case DUTY_REPLY -> readFields(in, "DutyReply", fields, 3, r -> new DutyReply(DutyFields.readReply(r)));
            default -> throw PeerException.of(Kind.UNKNOWN_TYPE, type);
        };
    }

    /** Reads the report of a crash; older builds send the first three fields, without the times of the suspect calls. */
    private static EndpointCrashed endpointCrashed(FieldReader in, int fields) throws IOException, PeerException {
        boolean withTimes = fields >= 4;
        return readFields(in, "EndpointCrashed", fields, withTimes ? 4 : 3, r -> {
            EndpointId endpoint = r.id("endpoint", EndpointId::of);
            long age = r.number("age");
            List<List<RequestTrait>> suspects = r.list(
                    "suspects", MAX_SUSPECTS, e -> e.list("traits", MAX_TRAITS, t -> t.id("trait", RequestTrait::of)));
            List<Long> sent = withTimes ? r.list("times", MAX_SUSPECTS, e -> e.number("time")) : List.of();
            if (withTimes && sent.size() != suspects.size()) {
                throw PeerException.of(
                        Kind.MALFORMED, "times", sent.size() + " for " + suspects.size() + " suspect calls");
            }
            List<SuspectCall> calls = new ArrayList<>(suspects.size());
            for (int i = 0; i < suspects.size(); i++) {
                OptionalLong sentMillis = withTimes ? OptionalLong.of(sent.get(i)) : OptionalLong.empty();
                calls.add(new SuspectCall(suspects.get(i), sentMillis));
            }
            return new EndpointCrashed(endpoint, age, calls);
        });
    }

    /**
     * Reads a report; older builds send the first six or five fields, without the era, or three if they report no position.
     */
    private static ContactReport contactReport(FieldReader in, int fields) throws IOException, PeerException {
        boolean withView = fields >= 5;
        boolean withGrant = fields >= 6;
        boolean withEra = fields >= 7;
        int known = withView ? Math.min(fields, 7) : 3;
        return readFields(in, "ContactReport", fields, known, r -> {
            long query = r.tickerTime();
            long age = r.number("age");
            long configuration = r.number("configuration");
            if (!withView) {
                return ContactReport.ofConfiguration(query, age, configuration);
            }
            long viewAge = r.number("age of the view");
            long revision = r.number("revision");
            long unready = withGrant ? r.number("unready time") : 0;
            StorePosition position = StorePosition.of(withEra ? r.number("era") : 0, revision);
            return new ContactReport(query, age, configuration, viewAge, position, unready);
        });
    }

    /** Reads a notification; builds without shares among customers send the first three fields only. */
    private static WorkStarted workStarted(FieldReader in, int fields) throws IOException, PeerException {
        boolean withCustomer = fields >= 6;
        return readFields(in, "WorkStarted", fields, withCustomer ? 6 : 3, r -> {
            RequestId request = r.id("request", RequestId::of);
            long remaining = r.number("time left");
            List<WorkPart> parts = r.list("parts", MAX_PARTS, e -> e.struct("part", 7, PeerCodec::workPart));
            return withCustomer
                    ? new WorkStarted(
                            request,
                            remaining,
                            parts,
                            r.number("work"),
                            r.number("time waited"),
                            r.optionalId("customer", CustomerId::of))
                    : new WorkStarted(request, remaining, parts, 0, 0, Optional.empty());
        });
    }

    private static WorkPart workPart(FieldReader r) throws IOException, PeerException {
        return new WorkPart(
                r.id("endpoint", EndpointId::of),
                r.bool(),
                r.number("prefill time"),
                r.number("memory"),
                r.number("objective"),
                r.number("gap"),
                r.decimal("weight"));
    }

    private static PeerMessage readHolderMessage(FieldReader in, int fields, int type)
            throws IOException, PeerException {
        return switch (type) {
            case PERMIT_STAGE ->
                readFields(
                        in,
                        "PermitStage",
                        fields,
                        3,
                        r -> new PermitStage(
                                r.id("endpoint", EndpointId::of),
                                r.id("request", RequestId::of),
                                enumValue(r, Stage.values())));
            case HOLDER_QUERY ->
                readFields(
                        in,
                        "HolderQuery",
                        fields,
                        2,
                        r -> new HolderQuery(r.id("endpoint", EndpointId::of), r.tickerTime()));
            case HOLDER_REPORT ->
                readFields(
                        in,
                        "HolderReport",
                        fields,
                        3,
                        r -> new HolderReport(r.id("endpoint", EndpointId::of), r.tickerTime(), permits(r)));
            default -> throw PeerException.of(Kind.UNKNOWN_TYPE, type);
        };
    }

    private static PeerMessage readRunMessage(FieldReader in, int fields, int type) throws IOException, PeerException {
        return switch (type) {
            case CLEAR_NOTICE -> readFields(in, "ClearNotice", fields, 3, PeerCodec::clearNotice);
            case RUN_REQUEST ->
                readFields(
                        in,
                        "RunRequest",
                        fields,
                        4,
                        r -> new RunRequest(
                                r.number("call id"),
                                r.id("fingerprint", Fingerprint::of),
                                r.id("run", RequestId::of),
                                r.number("deadline")));
            case RUN_REPLY ->
                readFields(
                        in,
                        "RunReply",
                        fields,
                        4,
                        r -> new RunReply(
                                r.number("call id"),
                                enumValue(r, RunVerdict.values()),
                                r.number("wait"),
                                r.list("marks", MAX_CRASHES, e -> e.struct("mark", 4, PeerCodec::crashNotice))));
            case RUN_ENDED ->
                readFields(
                        in,
                        "RunEnded",
                        fields,
                        4,
                        r -> new RunEnded(
                                r.id("fingerprint", Fingerprint::of),
                                r.id("run", RequestId::of),
                                enumValue(r, RunOutcome.values()),
                                r.optionalId("crash id", t -> t)));
            default -> throw PeerException.of(Kind.UNKNOWN_TYPE, type);
        };
    }

    private static <T> T readFields(FieldReader in, String what, int fields, int known, FieldReader.Element<T> body)
            throws IOException, PeerException {
        if (fields < known) {
            throw PeerException.of(Kind.MALFORMED, what, fields + " fields, expected at least " + known);
        }
        T value = body.read(in);
        in.skip(fields - known);
        return value;
    }

    /** Checks magic and version before reading further fields, whose format may differ in another version. */
    private static Hello hello(FieldReader in, int fields) throws IOException, PeerException {
        if (fields < 2) {
            throw PeerException.of(Kind.MALFORMED, "Hello", "magic and version are missing");
        }
        String magic = in.text("magic");
        if (!magic.equals(Hello.MAGIC)) {
            throw PeerException.of(Kind.WRONG_MAGIC, "\"" + magic + "\"");
        }
        long version = in.number("version");
        if (version != Hello.VERSION) {
            throw PeerException.of(Kind.UNSUPPORTED_VERSION, version, Hello.VERSION);
        }
        return readFields(in, "Hello", fields - 2, 3, r -> {
            Incarnation sender = incarnation(r);
            return new Hello(Hello.VERSION, sender, r.id("domain", FailureDomain::of));
        });
    }

    static Incarnation incarnation(FieldReader in) throws IOException, PeerException {
        InstanceId instance = in.id("instance", InstanceId::of);
        return Incarnation.of(instance, in.number("incarnation"));
    }

    private static Heartbeat heartbeat(FieldReader in) throws IOException, PeerException {
        long sequence = in.number("sequence");
        long version = in.number("settings version");
        List<EndpointDigest> endpoints =
                in.list("endpoints", MAX_ENDPOINTS, e -> e.struct("endpoint digest", 9, PeerCodec::endpointDigest));
        List<CustomerDemand> demand =
                in.list("demand", MAX_DEMAND, e -> e.struct("customer demand", 6, PeerCodec::demand));
        return new Heartbeat(sequence, version, endpoints, demand, in.bool());
    }

    private static EndpointDigest endpointDigest(FieldReader in) throws IOException, PeerException {
        return new EndpointDigest(
                in.id("endpoint", EndpointId::of),
                in.number("used slots"),
                in.number("slot limit"),
                in.number("used tokens"),
                in.number("token limit"),
                in.text("state"),
                in.text("model"),
                in.number("memory in tokens"),
                in.list("pending tokens", MAX_PROMPT_CLASSES, e -> e.number("pending tokens")));
    }

    private static CustomerDemand demand(FieldReader in) throws IOException, PeerException {
        return new CustomerDemand(
                in.id("customer", CustomerId::of),
                in.id("service", ServiceName::of),
                in.decimal("requests/s"),
                in.decimal("tokens/s"),
                in.number("active long prompts"),
                in.number("refused long prompts"));
    }

    private static PermitRequest permitRequest(FieldReader in) throws IOException, PeerException {
        return new PermitRequest(
                in.number("call id"),
                in.id("request", RequestId::of),
                target(in),
                in.number("prompt tokens"),
                in.number("total tokens"),
                in.text("lane"),
                in.id("customer", CustomerId::of),
                in.decimal("weight"),
                in.id("fingerprint", Fingerprint::of),
                in.number("deadline"),
                in.bool());
    }

    /** A target is encoded as [kind, endpoint or service, model or nil]. */
    private static PermitTarget target(FieldReader in) throws IOException, PeerException {
        return in.struct("target", 3, r -> {
            long kind = r.number("target kind");
            if (kind == AT_ENDPOINT) {
                EndpointId endpoint = r.id("endpoint", EndpointId::of);
                r.skip(1);
                return new EndpointTarget(endpoint);
            }
            if (kind == ANY_OF) {
                return new ServiceTarget(r.id("service", ServiceName::of), r.optionalId("model", ModelName::of));
            }
            throw PeerException.of(Kind.MALFORMED, "target", "unknown kind " + kind);
        });
    }

    /** A decision is encoded as [kind, five fields]; the last two fields of a refusal are nil. */
    private static PermitDecision decision(FieldReader in) throws IOException, PeerException {
        return in.struct("decision", 6, r -> {
            long kind = r.number("decision kind");
            if (kind == GRANTED) {
                return new PermitGranted(
                        r.number("permit"),
                        r.id("endpoint", EndpointId::of),
                        r.number("fencing number"),
                        r.number("validity"),
                        r.text("crash id"));
            }
            if (kind == REFUSED) {
                PermitRefused refused = new PermitRefused(
                        r.text("reason"), r.optionalId("owner hint", InstanceId::of), r.number("retry after"));
                r.skip(2);
                return refused;
            }
            throw PeerException.of(Kind.MALFORMED, "decision", "unknown kind " + kind);
        });
    }

    private static PermitRelease permitRelease(FieldReader in) throws IOException, PeerException {
        long permit = in.number("permit");
        long fencingNumber = in.number("fencing number");
        EndpointId endpoint = in.id("endpoint", EndpointId::of);
        RequestId request = in.id("request", RequestId::of);
        return new PermitRelease(permit, fencingNumber, endpoint, request, enumValue(in, ReleaseReason.values()));
    }

    private static <E extends Enum<E>> E enumValue(FieldReader in, E[] values) throws IOException, PeerException {
        String what = values[0].getDeclaringClass().getSimpleName();
        long number = in.number(what);
        if (number >= values.length) {
            throw PeerException.of(Kind.MALFORMED, what, "unknown value " + number);
        }
        return values[(int) number];
    }

    private static ClearNotice clearNotice(FieldReader in) throws IOException, PeerException {
        Fingerprint fingerprint = in.id("fingerprint", Fingerprint::of);
        return new ClearNotice(
                fingerprint, in.list("crash ids", MAX_CRASHES, e -> e.text("crash id")), in.number("age"));
    }

    private static Handover handover(FieldReader in) throws IOException, PeerException {
        EndpointId endpoint = in.id("endpoint", EndpointId::of);
        long fencingNumber = in.number("fencing number");
        return new Handover(endpoint, fencingNumber, permits(in));
    }

    private static List<HeldPermit> permits(FieldReader in) throws IOException, PeerException {
        return in.list("permits", MAX_PERMITS, e -> e.struct("permit", 9, PeerCodec::heldPermit));
    }

    private static HeldPermit heldPermit(FieldReader in) throws IOException, PeerException {
        return new HeldPermit(
                in.number("permit"),
                in.id("request", RequestId::of),
                incarnation(in),
                in.number("prompt tokens"),
                in.number("total tokens"),
                in.text("lane"),
                in.id("customer", CustomerId::of),
                in.id("fingerprint", Fingerprint::of));
    }

    private static CrashNotice crashNotice(FieldReader in) throws IOException, PeerException {
        return new CrashNotice(
                in.text("crash id"),
                in.id("endpoint", EndpointId::of),
                in.list("fingerprints", MAX_FINGERPRINTS, e -> e.id("fingerprint", Fingerprint::of)),
                in.number("age"));
    }

    static void requireAtMost(String what, long value, long limit) throws PeerException {
        if (value > limit) {
            throw PeerException.of(Kind.OVERSIZED, what, value, limit);
        }
    }
}
