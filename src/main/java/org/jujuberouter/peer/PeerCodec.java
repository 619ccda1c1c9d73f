package org.jujuberouter.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.ModelName;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.peer.PeerException.Kind;
import org.jujuberouter.peer.PeerMessage.ClearNotice;
import org.jujuberouter.peer.PeerMessage.ContactQuery;
import org.jujuberouter.peer.PeerMessage.ContactReport;
import org.jujuberouter.peer.PeerMessage.CrashNotice;
import org.jujuberouter.peer.PeerMessage.CustomerDemand;
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
import org.jujuberouter.peer.PeerMessage.WorkEnded;
import org.jujuberouter.peer.PeerMessage.WorkPart;
import org.jujuberouter.peer.PeerMessage.WorkRead;
import org.jujuberouter.peer.PeerMessage.WorkStarted;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;

/**
 * Encodes and decodes the content of one frame.
 *
 * <p>A message is an array: the type number, then the fields in order. Fields have no names, which keeps a permit request
 * near 100 bytes. A reader skips fields after those it knows, so a field may be added at the end without a new major
 * version.
 */
public final class PeerCodec {
    /** The largest frame content in bytes. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    /** The largest settings document in bytes; the rest of the frame is left for the other fields. */
    public static final int MAX_DOCUMENT_BYTES = MAX_FRAME_BYTES - 64;

    /** The largest text field in UTF-8 bytes. */
    public static final int MAX_TEXT_BYTES = 256;

    /** The most customers in the demand of a heartbeat. */
    public static final int MAX_DEMAND = 32;

    /** The most endpoints in a heartbeat: above the 1,400 of the design size, should one instance own them all. */
    public static final int MAX_ENDPOINTS = 2048;

    /** The most permits in a handover; the largest permit with full texts takes 1.1 KiB, typical ones 150 bytes. */
    public static final int MAX_PERMITS = 4096;

    /** The most fingerprints in a crash notice. */
    public static final int MAX_FINGERPRINTS = 2048;

    /** The most lanes of which a digest tells the pending tokens. */
    public static final int MAX_LANES = 8;

    /** The most crashes that one message names for a fingerprint; two convict it. */
    public static final int MAX_CRASHES = 64;

    /** The most endpoints that one call occupies: the one that answers and its helpers, with room for more of them. */
    public static final int MAX_PARTS = 64;

    /** The length before each frame. */
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
            requireBound("size of the frame", bytes.length, MAX_FRAME_BYTES);
            return bytes;
        } catch (IOException e) {
            throw new UncheckedIOException("packing into memory failed", e);
        }
    }

    /** Returns the message in the frame content. */
    public static PeerMessage decode(byte[] frame) throws PeerException {
        requireBound("size of the frame", frame.length, MAX_FRAME_BYTES);
        FieldReader in = new FieldReader(frame);
        try {
            int fields = in.header();
            if (fields == 0) {
                throw PeerException.of(Kind.MALFORMED, "message", "it has no type");
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
            case HEARTBEAT -> body(in, "Heartbeat", fields, 5, PeerCodec::heartbeat);
            case PERMIT_REQUEST -> body(in, "PermitRequest", fields, 11, PeerCodec::permitRequest);
            case PERMIT_REPLY ->
                body(in, "PermitReply", fields, 2, r -> new PermitReply(r.number("call id"), decision(r)));
            case PERMIT_RELEASE -> body(in, "PermitRelease", fields, 5, PeerCodec::permitRelease);
            case HANDOVER -> body(in, "Handover", fields, 3, PeerCodec::handover);
            case CRASH_NOTICE -> body(in, "CrashNotice", fields, 4, PeerCodec::crashNotice);
            case SETTINGS_PULL -> body(in, "SettingsPull", fields, 1, r -> new SettingsPull(r.number("version")));
            case SETTINGS_PUSH ->
                body(in, "SettingsPush", fields, 2, r -> new SettingsPush(r.number("version"), r.bytes("document")));
            case PERMIT_STAGE, HOLDER_QUERY, HOLDER_REPORT -> readHolder(in, fields, (int) type);
            case CLEAR_NOTICE, RUN_REQUEST, RUN_REPLY, RUN_ENDED -> readRun(in, fields, (int) type);
            default -> readShare(in, fields, (int) Math.min(type, Integer.MAX_VALUE));
        };
    }

    private static PeerMessage readShare(FieldReader in, int fields, int type) throws IOException, PeerException {
        return switch (type) {
            case WORK_STARTED ->
                body(
                        in,
                        "WorkStarted",
                        fields,
                        3,
                        r -> new WorkStarted(
                                r.id("request", RequestId::of),
                                r.number("time left"),
                                r.list("parts", MAX_PARTS, e -> e.group("part", 7, PeerCodec::workPart))));
            case WORK_READ ->
                body(
                        in,
                        "WorkRead",
                        fields,
                        3,
                        r -> new WorkRead(
                                r.id("request", RequestId::of), r.id("endpoint", EndpointId::of), r.number("delay")));
            case WORK_ENDED -> body(in, "WorkEnded", fields, 1, r -> new WorkEnded(r.id("request", RequestId::of)));
            case CONTACT_QUERY -> body(in, "ContactQuery", fields, 1, r -> new ContactQuery(r.time()));
            case CONTACT_REPORT ->
                body(
                        in,
                        "ContactReport",
                        fields,
                        3,
                        r -> new ContactReport(r.time(), r.number("age"), r.number("configuration")));
            case ENDPOINT_FAILED ->
                body(in, "EndpointFailed", fields, 1, r -> new EndpointFailed(r.id("endpoint", EndpointId::of)));
            default -> throw PeerException.of(Kind.UNKNOWN_TYPE, type);
        };
    }

    private static WorkPart workPart(FieldReader r) throws IOException, PeerException {
        return new WorkPart(
                r.id("endpoint", EndpointId::of),
                r.flag(),
                r.number("reading time"),
                r.number("memory"),
                r.number("objective"),
                r.number("gap"),
                r.real("weight"));
    }

    private static PeerMessage readHolder(FieldReader in, int fields, int type) throws IOException, PeerException {
        return switch (type) {
            case PERMIT_STAGE ->
                body(
                        in,
                        "PermitStage",
                        fields,
                        3,
                        r -> new PermitStage(
                                r.id("endpoint", EndpointId::of),
                                r.id("request", RequestId::of),
                                value(r, Stage.values())));
            case HOLDER_QUERY ->
                body(in, "HolderQuery", fields, 2, r -> new HolderQuery(r.id("endpoint", EndpointId::of), r.time()));
            case HOLDER_REPORT ->
                body(
                        in,
                        "HolderReport",
                        fields,
                        3,
                        r -> new HolderReport(r.id("endpoint", EndpointId::of), r.time(), permits(r)));
            default -> throw PeerException.of(Kind.UNKNOWN_TYPE, type);
        };
    }

    private static PeerMessage readRun(FieldReader in, int fields, int type) throws IOException, PeerException {
        return switch (type) {
            case CLEAR_NOTICE -> body(in, "ClearNotice", fields, 3, PeerCodec::clearNotice);
            case RUN_REQUEST ->
                body(
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
                body(
                        in,
                        "RunReply",
                        fields,
                        4,
                        r -> new RunReply(
                                r.number("call id"),
                                value(r, RunVerdict.values()),
                                r.number("wait"),
                                r.list("marks", MAX_CRASHES, e -> e.group("mark", 4, PeerCodec::crashNotice))));
            case RUN_ENDED ->
                body(
                        in,
                        "RunEnded",
                        fields,
                        4,
                        r -> new RunEnded(
                                r.id("fingerprint", Fingerprint::of),
                                r.id("run", RequestId::of),
                                value(r, RunOutcome.values()),
                                r.optionalId("crash id", t -> t)));
            default -> throw PeerException.of(Kind.UNKNOWN_TYPE, type);
        };
    }

    private static <T> T body(FieldReader in, String what, int fields, int known, FieldReader.Element<T> body)
            throws IOException, PeerException {
        if (fields < known) {
            throw PeerException.of(Kind.MALFORMED, what, fields + " fields, expected at least " + known);
        }
        T value = body.read(in);
        in.skip(fields - known);
        return value;
    }

    /** Checks magic and version before the fields behind them, whose form another version may have changed. */
    private static Hello hello(FieldReader in, int fields) throws IOException, PeerException {
        if (fields < 2) {
            throw PeerException.of(Kind.MALFORMED, "Hello", "it has no magic and version");
        }
        String magic = in.text("magic");
        if (!magic.equals(Hello.MAGIC)) {
            throw PeerException.of(Kind.WRONG_MAGIC, "\"" + magic + "\"");
        }
        long version = in.number("version");
        if (version != Hello.VERSION) {
            throw PeerException.of(Kind.UNSUPPORTED_VERSION, version, Hello.VERSION);
        }
        return body(in, "Hello", fields - 2, 3, r -> {
            Incarnation sender = incarnation(r);
            return new Hello(Hello.VERSION, sender, r.id("domain", FailureDomain::of));
        });
    }

    private static Incarnation incarnation(FieldReader in) throws IOException, PeerException {
        InstanceId instance = in.id("instance", InstanceId::of);
        return Incarnation.of(instance, in.number("incarnation"));
    }

    private static Heartbeat heartbeat(FieldReader in) throws IOException, PeerException {
        long sequence = in.number("sequence");
        long version = in.number("settings version");
        List<EndpointDigest> endpoints =
                in.list("endpoints", MAX_ENDPOINTS, e -> e.group("endpoint digest", 9, PeerCodec::endpointDigest));
        List<CustomerDemand> demand =
                in.list("demand", MAX_DEMAND, e -> e.group("demand digest", 6, PeerCodec::demand));
        return new Heartbeat(sequence, version, endpoints, demand, in.flag());
    }

    private static EndpointDigest endpointDigest(FieldReader in) throws IOException, PeerException {
        return new EndpointDigest(
                in.id("endpoint", EndpointId::of),
                in.number("used slots"),
                in.number("bound of slots"),
                in.number("used tokens"),
                in.number("bound of tokens"),
                in.text("state"),
                in.text("model"),
                in.number("memory in tokens"),
                in.list("pending tokens", MAX_LANES, e -> e.number("pending tokens")));
    }

    private static CustomerDemand demand(FieldReader in) throws IOException, PeerException {
        return new CustomerDemand(
                in.id("customer", CustomerId::of),
                in.id("service", ServiceName::of),
                in.real("requests/s"),
                in.real("tokens/s"),
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
                in.real("weight"),
                in.id("fingerprint", Fingerprint::of),
                in.number("deadline"),
                in.flag());
    }

    /** A target is [kind, name, model or nil]. */
    private static PermitTarget target(FieldReader in) throws IOException, PeerException {
        return in.group("target", 3, r -> {
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

    /** A decision is [kind, four fields]; a refusal leaves the last one nil. */
    private static PermitDecision decision(FieldReader in) throws IOException, PeerException {
        return in.group("decision", 6, r -> {
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
        long fence = in.number("fencing number");
        EndpointId endpoint = in.id("endpoint", EndpointId::of);
        RequestId request = in.id("request", RequestId::of);
        return new PermitRelease(permit, fence, endpoint, request, value(in, ReleaseReason.values()));
    }

    private static <E extends Enum<E>> E value(FieldReader in, E[] values) throws IOException, PeerException {
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
        long fencing = in.number("fencing number");
        return new Handover(endpoint, fencing, permits(in));
    }

    private static List<HeldPermit> permits(FieldReader in) throws IOException, PeerException {
        return in.list("permits", MAX_PERMITS, e -> e.group("permit", 9, PeerCodec::heldPermit));
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

    static void requireBound(String what, long value, long bound) throws PeerException {
        if (value > bound) {
            throw PeerException.of(Kind.OVERSIZED, what, value, bound);
        }
    }
}
