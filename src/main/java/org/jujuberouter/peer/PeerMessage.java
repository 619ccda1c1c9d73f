package org.jujuberouter.peer;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.jujuberouter.duty.InstanceReport;
import org.jujuberouter.duty.LeaderReply;
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

/** A message between two instances. */
public sealed interface PeerMessage {
    /**
     * The first message in each direction of a connection; sent again when the sender gets a new incarnation.
     *
     * @param version the major version of the protocol
     * @param sender the incarnation of the sender
     * @param domain the failure domain of the sender
     */
    record Hello(int version, Incarnation sender, FailureDomain domain) implements PeerMessage {
        /** The text at the start of each Hello that identifies the protocol. */
        public static final String MAGIC = "jujube";

        /** The major protocol version of this build. */
        public static final int VERSION = 1;

        /** Returns the Hello of this build. */
        public static Hello of(Incarnation sender, FailureDomain domain) {
            return new Hello(VERSION, sender, domain);
        }
    }

    /**
     * Reports that the sender is alive, with the state of its own endpoints and its own recent demand.
     *
     * @param sequence increases with each heartbeat of one incarnation
     * @param settingsVersion the highest settings version in effect at the sender
     * @param endpoints the endpoints that the sender owns
     * @param demand the sender's recent demand, of at most {@link PeerCodec#MAX_DEMAND} customers
     * @param leaving whether the sender is shutting down as planned
     */
    record Heartbeat(
            long sequence,
            long settingsVersion,
            List<EndpointDigest> endpoints,
            List<CustomerDemand> demand,
            boolean leaving)
            implements PeerMessage {
        /** Copies the lists. */
        public Heartbeat {
            endpoints = List.copyOf(endpoints);
            demand = List.copyOf(demand);
        }
    }

    /**
     * The load of one endpoint as its owner sees it, in slots and in tokens of the endpoint's memory.
     *
     * @param state the serving state, as a short stable code
     * @param model the loaded model; empty for a service without models or when unknown
     * @param memoryTokens the total memory of the endpoint in tokens
     * @param pendingTokens prompt tokens still to be processed of short, medium and long prompts
     */
    record EndpointDigest(
            EndpointId endpoint,
            long usedSlots,
            long slotLimit,
            long usedTokens,
            long tokenLimit,
            String state,
            String model,
            long memoryTokens,
            List<Long> pendingTokens) {
        /** Copies the list. */
        public EndpointDigest {
            pendingTokens = List.copyOf(pendingTokens);
        }
    }

    /**
     * The recent demand of one customer at the sender.
     *
     * @param activeLongPrompts long prompts that are running
     * @param refusedLongPrompts long prompts refused recently
     */
    record CustomerDemand(
            CustomerId customer,
            ServiceName service,
            double requestsPerSecond,
            double tokensPerSecond,
            long activeLongPrompts,
            long refusedLongPrompts) {}

    /** A request that expects a {@link Reply} with the same call id. */
    sealed interface Call extends PeerMessage {
        /** Returns the id that correlates call and reply; set by the connection. */
        long callId();

        /** Returns a copy of this message with the given call id. */
        Call withCallId(long id);
    }

    /** The reply to a {@link Call}. */
    sealed interface Reply extends PeerMessage {
        /** Returns the id of the call. */
        long callId();
    }

    /**
     * Asks the owner of an endpoint for a permit.
     *
     * @param callId correlates call and reply; set by the connection
     * @param lane the name of the class of its prompt length
     * @param weight the customer's weight in fair queueing
     * @param deadlineMillis the milliseconds left until the request's deadline
     * @param runsAlone whether the fingerprint is marked by a crash, so that the request must not run concurrently with
     *     another marked one
     */
    record PermitRequest(
            long callId,
            RequestId request,
            PermitTarget target,
            long promptTokens,
            long totalTokens,
            String lane,
            CustomerId customer,
            double weight,
            Fingerprint fingerprint,
            long deadlineMillis,
            boolean runsAlone)
            implements Call {
        @Override
        public PermitRequest withCallId(long id) {
            return new PermitRequest(
                    id,
                    request,
                    target,
                    promptTokens,
                    totalTokens,
                    lane,
                    customer,
                    weight,
                    fingerprint,
                    deadlineMillis,
                    runsAlone);
        }
    }

    /** The endpoint or service for which a permit is requested. */
    sealed interface PermitTarget {}

    /** A specific endpoint. */
    record EndpointTarget(EndpointId endpoint) implements PermitTarget {}

    /** Any endpoint of the service that the receiver owns; the model is present if the service runs models. */
    record ServiceTarget(ServiceName service, Optional<ModelName> model) implements PermitTarget {}

    /** The reply to a {@link PermitRequest}. */
    record PermitReply(long callId, PermitDecision decision) implements Reply {}

    /** The decision of the owner on a permit request. */
    sealed interface PermitDecision {}

    /**
     * The requester may start the request within the given time.
     *
     * @param crashId the crash id to report if the endpoint crashes while it runs the request
     */
    record PermitGranted(long permitId, EndpointId endpoint, long fencingNumber, long validMillis, String crashId)
            implements PermitDecision {}

    /**
     * The requester may not start the request.
     *
     * @param reason a short stable code
     * @param ownerHint the owner of the endpoint, if the receiver is not the owner and knows who is
     * @param retryAfterMillis the time after which another request may succeed
     */
    record PermitRefused(String reason, Optional<InstanceId> ownerHint, long retryAfterMillis)
            implements PermitDecision {}

    /** Returns a permit to the owner. */
    record PermitRelease(
            long permitId, long fencingNumber, EndpointId endpoint, RequestId request, ReleaseReason reason)
            implements PeerMessage {}

    /** Reports to the owner that a request under a permit has reached a stage. */
    record PermitStage(EndpointId endpoint, RequestId request, Stage stage) implements PeerMessage {}

    /** The stages of a request under a permit. The order is part of the protocol; new values go to the end. */
    enum Stage {
        /** The first byte of the request is about to be sent. */
        STARTED,
        /** The first token of the response arrived. */
        PREFILLED
    }

    /**
     * Asks a holder which permits it holds for an endpoint.
     *
     * @param queryNanos the monotonic time of the owner, echoed in the report
     */
    record HolderQuery(EndpointId endpoint, long queryNanos) implements PeerMessage {}

    /**
     * Lists all permits that the sender holds for one endpoint, so that the owner can free those that are no longer
     * held.
     *
     * @param queryNanos the time from the query
     */
    record HolderReport(EndpointId endpoint, long queryNanos, List<HeldPermit> permits) implements PeerMessage {
        /** Copies the list. */
        public HolderReport {
            permits = List.copyOf(permits);
        }
    }

    /** How a request under a permit ended. The order is part of the protocol; new values go to the end. */
    enum ReleaseReason {
        UNUSED,
        FINISHED,
        CANCELLED,
        FAILED,
        CRASHED
    }

    /** Transfers the ownership of an endpoint, with its permits in flight, to the receiver. */
    record Handover(EndpointId endpoint, long fencingNumber, List<HeldPermit> permits) implements PeerMessage {
        /** Copies the list. */
        public Handover {
            permits = List.copyOf(permits);
        }
    }

    /** A permit in flight. */
    record HeldPermit(
            long permitId,
            RequestId request,
            Incarnation holder,
            long promptTokens,
            long totalTokens,
            String lane,
            CustomerId customer,
            Fingerprint fingerprint) {}

    /**
     * Reports the fingerprints that were in flight at an endpoint when it crashed.
     *
     * @param ageMillis the time since the crash; an age, because the clocks of processes are not synchronized
     */
    record CrashNotice(String crashId, EndpointId endpoint, List<Fingerprint> fingerprints, long ageMillis)
            implements PeerMessage {
        /** Copies the list. */
        public CrashNotice {
            fingerprints = List.copyOf(fingerprints);
        }
    }

    /** Reports that a request completed, which clears the marks that its fingerprint got from the given crashes. */
    record ClearNotice(Fingerprint fingerprint, List<String> crashIds, long ageMillis) implements PeerMessage {
        /** Copies the list. */
        public ClearNotice {
            crashIds = List.copyOf(crashIds);
        }
    }

    /**
     * Asks the arbiter of a fingerprint for permission to run a request once.
     *
     * @param run the id of the run
     * @param deadlineMillis the milliseconds left until the request's deadline
     */
    record RunRequest(long callId, Fingerprint fingerprint, RequestId run, long deadlineMillis) implements Call {
        @Override
        public RunRequest withCallId(long id) {
            return new RunRequest(id, fingerprint, run, deadlineMillis);
        }
    }

    /**
     * The reply to a {@link RunRequest}.
     *
     * @param waitMillis the time after which another request may succeed; 0 unless the verdict is {@code WAIT}
     * @param marks the crashes that count against the fingerprint
     */
    record RunReply(long callId, RunVerdict verdict, long waitMillis, List<CrashNotice> marks) implements Reply {
        /** Copies the list. */
        public RunReply {
            marks = List.copyOf(marks);
        }
    }

    /** The decision of an arbiter on a run request. The order is part of the protocol; new values go to the end. */
    enum RunVerdict {
        RUN,
        WAIT,
        REFUSE
    }

    /** Reports to the arbiter how a run ended; the crash id is present if the endpoint stopped answering. */
    record RunEnded(Fingerprint fingerprint, RequestId run, RunOutcome outcome, Optional<String> crashId)
            implements PeerMessage {}

    /** How a run ended. The order is part of the protocol; new values go to the end. */
    enum RunOutcome {
        COMPLETED,
        RELEASED,
        LOST
    }

    /** Asks the receiver to send its settings if they have a higher version. */
    record SettingsPull(long version) implements PeerMessage {}

    /** Carries a settings document; the bytes are not copied and must not be changed. */
    record SettingsPush(long version, byte[] document) implements PeerMessage {
        @Override
        public boolean equals(Object other) {
            return other instanceof SettingsPush push
                    && push.version == version
                    && java.util.Arrays.equals(push.document, document);
        }

        @Override
        public int hashCode() {
            return Long.hashCode(version) * 31 + java.util.Arrays.hashCode(document);
        }
    }

    /**
     * A message between gateway instances about the work that they placed, their view of the store, or a failed
     * endpoint.
     */
    sealed interface GatewayMessage extends PeerMessage {}

    /**
     * Reports that the sender placed a call on endpoints.
     *
     * @param remainingMillis the time after which the work has ended at the latest
     * @param parts the work at each endpoint, at most {@link PeerCodec#MAX_PARTS}
     * @param workMicros the time of an engine that the call uses in total, in microseconds; 0 if not known
     * @param waitedMillis the time for which the call had waited for an endpoint
     * @param customer the customer; empty for calls of public routes
     */
    record WorkStarted(
            RequestId request,
            long remainingMillis,
            List<WorkPart> parts,
            long workMicros,
            long waitedMillis,
            Optional<CustomerId> customer)
            implements GatewayMessage {
        /** Copies the list. */
        public WorkStarted {
            parts = List.copyOf(parts);
        }
    }

    /**
     * The resources that a call uses at one endpoint.
     *
     * @param holdsSlot whether it occupies a slot; false where the endpoint only processes a part of the prompt for
     *     another endpoint
     * @param prefillMicros the time to process its part of the prompt, in microseconds
     * @param memoryTokens the tokens that it occupies in the endpoint's memory
     * @param objectiveMillis the time limit from the start to the first event
     * @param maxGapMillis the longest permitted gap between events of its stream; 0 if it does not stream
     * @param weight the cost of missing the objective
     */
    record WorkPart(
            EndpointId endpoint,
            boolean holdsSlot,
            long prefillMicros,
            long memoryTokens,
            long objectiveMillis,
            long maxGapMillis,
            double weight) {}

    /**
     * Reports that the prompt of a call has been processed.
     *
     * @param endpoint the endpoint that generates the response
     * @param delayMillis the delay of the first event against the plan
     */
    record WorkRead(RequestId request, EndpointId endpoint, long delayMillis) implements GatewayMessage {}

    /** Reports that a call has ended at all endpoints. */
    record WorkEnded(RequestId request) implements GatewayMessage {}

    /**
     * Asks for the age of the receiver's view of the store.
     *
     * @param queryNanos the monotonic time of the sender, echoed in the report
     * @param unreadyMillis the time for which the sender wants not to be ready because it lags, 0 if it does not; above 5 s,
     *     the sender is stopping and not ready whatever the answer is
     */
    record ContactQuery(long queryNanos, long unreadyMillis) implements GatewayMessage {
        /** Creates a query of an instance that remains ready. */
        public ContactQuery(long queryNanos) {
            this(queryNanos, 0);
        }
    }

    /**
     * Reports the age of the sender's view of the store. The whole view can be older than that of the configuration,
     * which is also proved by the version of another instance.
     *
     * @param queryNanos the time from the query
     * @param ageMillis the age of the view of the configuration when the report was created
     * @param configuration the configuration version in that view
     * @param viewAgeMillis the age of the whole view when the report was created
     * @param position the position of the store in the whole view, or {@link StorePosition#NONE} if its age is not known or
     *     the sender does not reach the store
     * @param unreadyMillis the time from the query on for which the receiver may not be ready; 0 if it has to be
     */
    record ContactReport(
            long queryNanos,
            long ageMillis,
            long configuration,
            long viewAgeMillis,
            StorePosition position,
            long unreadyMillis)
            implements GatewayMessage {
        /** Creates a report that grants nothing. */
        public ContactReport(
                long queryNanos, long ageMillis, long configuration, long viewAgeMillis, StorePosition position) {
            this(queryNanos, ageMillis, configuration, viewAgeMillis, position, 0);
        }

        /** Returns this report with the time for which the receiver may not be ready. */
        public ContactReport granting(long millis) {
            return new ContactReport(queryNanos, ageMillis, configuration, viewAgeMillis, position, millis);
        }

        /** Returns a report that says nothing of the whole view. */
        static ContactReport ofConfiguration(long queryNanos, long ageMillis, long configuration) {
            return new ContactReport(queryNanos, ageMillis, configuration, 0, StorePosition.NONE);
        }
    }

    /** Reports that an endpoint failed a call of the sender, so that other instances avoid it for a while. */
    record EndpointFailed(EndpointId endpoint) implements GatewayMessage {}

    /** A message between an instance and the leader. */
    sealed interface DutyMessage extends GatewayMessage {}

    /** Reports the executed requests and the demand of the sender to the leader. */
    record DutyReport(InstanceReport report) implements DutyMessage {}

    /** The leader's reply to a report. */
    record DutyReply(LeaderReply reply) implements DutyMessage {}

    /** A message between gateway instances about requests that crash endpoints. */
    sealed interface CrashMessage extends GatewayMessage {}

    /**
     * Reports that an endpoint crashed while calls of the sender ran there.
     *
     * @param ageMillis the time since the crash
     * @param suspects the calls that the endpoint may have begun to answer, at most {@link PeerCodec#MAX_SUSPECTS}
     */
    record EndpointCrashed(EndpointId endpoint, long ageMillis, List<SuspectCall> suspects) implements CrashMessage {
        /** Copies the list. */
        public EndpointCrashed {
            suspects = List.copyOf(suspects);
        }
    }

    /**
     * A call that an endpoint may have begun to answer when it crashed.
     *
     * @param traits its traits; the most specific one is last
     * @param sentMillis how long before the crash it was sent to the endpoint; empty from builds that do not report it
     */
    record SuspectCall(List<RequestTrait> traits, OptionalLong sentMillis) {
        /** Copies the list. */
        public SuspectCall {
            traits = List.copyOf(traits);
        }
    }

    /** Reports that an endpoint has answered a request with the trait, which clears it of crashes before. */
    record TraitAnswered(RequestTrait trait, long ageMillis) implements CrashMessage {}

    /** Reports that requests with the trait are refused, since they crash endpoints. */
    record TraitQuarantined(RequestTrait trait, long remainingMillis) implements CrashMessage {}
}
