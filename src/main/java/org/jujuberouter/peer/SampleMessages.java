package org.jujuberouter.peer;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.jujuberouter.duty.InstanceReport;
import org.jujuberouter.duty.LeaderReply;
import org.jujuberouter.duty.ServiceDemand;
import org.jujuberouter.duty.WindowCounts;
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
import org.jujuberouter.peer.PeerMessage.ClearNotice;
import org.jujuberouter.peer.PeerMessage.CrashNotice;
import org.jujuberouter.peer.PeerMessage.CustomerDemand;
import org.jujuberouter.peer.PeerMessage.EndpointDigest;
import org.jujuberouter.peer.PeerMessage.EndpointTarget;
import org.jujuberouter.peer.PeerMessage.Handover;
import org.jujuberouter.peer.PeerMessage.Heartbeat;
import org.jujuberouter.peer.PeerMessage.HeldPermit;
import org.jujuberouter.peer.PeerMessage.Hello;
import org.jujuberouter.peer.PeerMessage.HolderQuery;
import org.jujuberouter.peer.PeerMessage.HolderReport;
import org.jujuberouter.peer.PeerMessage.PermitGranted;
import org.jujuberouter.peer.PeerMessage.PermitRefused;
import org.jujuberouter.peer.PeerMessage.PermitRelease;
import org.jujuberouter.peer.PeerMessage.PermitReply;
import org.jujuberouter.peer.PeerMessage.PermitRequest;
import org.jujuberouter.peer.PeerMessage.PermitStage;
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

/** Sample messages with ids of typical length and the load of the design size, for tests and measurements. */
public final class SampleMessages {
    private static final Incarnation HOLDER = Incarnation.of(InstanceId.of("kk-entry-03"), 48_213);
    private static final EndpointId ENDPOINT = EndpointId.of("kk-engine-17");
    private static final CustomerId CUSTOMER = CustomerId.of("phaen-khai-large-2");
    private static final RequestId REQUEST = RequestId.of("kk-entry-03.48213.1048577");
    private static final RequestTrait TRAIT = RequestTrait.part(ServiceName.of("assistant"), "7f94cfada01e");
    private static final Fingerprint FINGERPRINT = Fingerprint.of("9f86d081884c7d659a2feaa0c55ad015");

    private SampleMessages() {}

    /** Returns at least one message of each type. */
    public static List<PeerMessage> all() {
        EndpointDigest endpoint = new EndpointDigest(
                ENDPOINT, 11, 32, 412_000, 1_600_000, "serving", "tray-70b", 1_800_000, List.of(9_000L, 0L, 60_000L));
        CustomerDemand demand = new CustomerDemand(CUSTOMER, ServiceName.of("assistant"), 12.5, 41_000.25, 1, 0);
        HeldPermit permit = new HeldPermit(90_001, REQUEST, HOLDER, 7_800, 8_312, "short", CUSTOMER, FINGERPRINT);
        return List.of(
                Hello.of(HOLDER, FailureDomain.of("khon-kaen")),
                new Heartbeat(86_400, 1_912, Collections.nCopies(4, endpoint), Collections.nCopies(10, demand), false),
                request(new EndpointTarget(ENDPOINT)),
                request(new ServiceTarget(ServiceName.of("assistant"), Optional.of(ModelName.of("tray-70b")))),
                request(new ServiceTarget(ServiceName.of("ledger"), Optional.empty())),
                new PermitReply(7, new PermitGranted(90_001, ENDPOINT, 17, 1_000, "kk-engine-17@41")),
                new PermitReply(7, new PermitRefused("not-owner", Optional.of(HOLDER.instance()), 0)),
                new PermitReply(7, new PermitRefused("full", Optional.empty(), 250)),
                new PermitRelease(90_001, 17, ENDPOINT, REQUEST, ReleaseReason.FINISHED),
                new Handover(ENDPOINT, 17, Collections.nCopies(8, permit)),
                crashNotice(8),
                new PermitStage(ENDPOINT, REQUEST, Stage.PREFILLED),
                new HolderQuery(ENDPOINT, -7_000_000_000L),
                new HolderReport(ENDPOINT, -7_000_000_000L, Collections.nCopies(8, permit)),
                new ClearNotice(FINGERPRINT, List.of("kk-entry-03.48213.crash.2"), 1_200),
                new RunRequest(8, FINGERPRINT, REQUEST, 30_000),
                new RunReply(8, RunVerdict.WAIT, 250, List.of(crashNotice(1))),
                new RunEnded(FINGERPRINT, REQUEST, RunOutcome.LOST, Optional.of("kk-engine-17@41")),
                new PeerMessage.WorkStarted(
                        REQUEST,
                        15_000,
                        Collections.nCopies(
                                4, new PeerMessage.WorkPart(ENDPOINT, true, 470_000, 133_000, 2_500, 1_000, 11.2)),
                        2_100_000,
                        40,
                        Optional.of(CUSTOMER)),
                new PeerMessage.WorkRead(REQUEST, ENDPOINT, 12),
                new PeerMessage.WorkEnded(REQUEST),
                new PeerMessage.ContactQuery(-7_000_000_000L, 5_000),
                new PeerMessage.ContactReport(-7_000_000_000L, 640, 18_233, 910, StorePosition.of(3, 91_877), 5_000),
                new PeerMessage.EndpointFailed(ENDPOINT),
                new PeerMessage.EndpointCrashed(
                        ENDPOINT, 40, List.of(new PeerMessage.SuspectCall(List.of(TRAIT, TRAIT), OptionalLong.of(95)))),
                new PeerMessage.TraitAnswered(TRAIT, 1_200),
                new PeerMessage.TraitQuarantined(TRAIT, 600_000),
                new PeerMessage.DutyReport(new InstanceReport(
                        1_767_225_600_000L,
                        86_400_000,
                        1_767_225_600_012L,
                        List.of(new WindowCounts(HOLDER, 353_445_120, Map.of(CUSTOMER, 412L))),
                        List.of(new ServiceDemand(
                                ServiceName.of("assistant"), FailureDomain.of("khon-kaen"), 91_000.5, 2e6, 3, 17)))),
                new PeerMessage.DutyReply(new LeaderReply(-12, 353_445_119, 86_400_000)),
                new SettingsPull(1_912),
                new SettingsPush(1_913, new byte[126_000]));
    }

    private static CrashNotice crashNotice(int fingerprints) {
        return new CrashNotice(
                "kk-entry-03.48213.crash.2", ENDPOINT, Collections.nCopies(fingerprints, FINGERPRINT), 40);
    }

    /** Returns a permit request for a short prompt. */
    public static PermitRequest request(PeerMessage.PermitTarget target) {
        return new PermitRequest(
                7,
                REQUEST,
                target,
                7_800,
                8_312,
                "short",
                CUSTOMER,
                1.0,
                FINGERPRINT,
                Duration.ofSeconds(30).toMillis(),
                false);
    }
}
