package org.jujuberouter.peer;

import java.util.List;
import java.util.Optional;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.ModelName;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;

/** A message between two instances. */
public sealed interface PeerMessage {
    /**
     * Opens a connection in each direction, and is sent again when the sender gets a new incarnation.
     *
     * @param version the major version of the protocol
     * @param sender the incarnation of the sender
     * @param domain the failure domain of the sender
     */
    record Hello(int version, Incarnation sender, FailureDomain domain) implements PeerMessage {
        /** The magic text that each Hello starts with. */
        public static final String MAGIC = "jujube";

        /** The major version that this build speaks. */
        public static final int VERSION = 1;

        /** Returns the Hello of this build. */
        public static Hello of(Incarnation sender, FailureDomain domain) {
            return new Hello(VERSION, sender, domain);
        }
    }

    /**
     * Tells that the sender is alive, and what it knows first hand.
     *
     * @param sequence increases with each heartbeat of one incarnation
     * @param settingsVersion the highest settings version the sender has in force
     * @param endpoints the endpoints that the sender owns
     * @param demand the sender's recent demand, of at most {@link PeerCodec#MAX_DEMAND} customers
     * @param leaving whether the sender is stopping as planned
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
     * The load of one endpoint as its owner sees it, in slots and in tokens of memory.
     *
     * @param state whether it serves, in a short stable word
     * @param model the model it has loaded; empty for a plain service or when it is not known
     * @param memoryTokens its whole memory in tokens
     * @param pendingTokens prompt tokens still to process in the short, medium and long lane
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
     * @param activeLongPrompts long prompts that run
     * @param refusedLongPrompts long prompts refused recently
     */
    record CustomerDemand(
            CustomerId customer,
            ServiceName service,
            double requestsPerSecond,
            double tokensPerSecond,
            long activeLongPrompts,
            long refusedLongPrompts) {}

    /** A message that waits for a {@link Reply} with the same call id. */
    sealed interface Call extends PeerMessage {
        /** Returns the id that matches the reply; set by the connection. */
        long callId();

        /** Returns the same message under another call id. */
        Call withCallId(long id);
    }

    /** The answer to a {@link Call}. */
    sealed interface Reply extends PeerMessage {
        /** Returns the id of the call. */
        long callId();
    }

    /**
     * Asks the owner of an endpoint for a permit.
     *
     * @param callId matches the reply; set by the connection
     * @param lane the name of the lane
     * @param weight the customer's weight in fair queueing
     * @param deadlineMillis the milliseconds left until the request's deadline
     * @param runsAlone whether the fingerprint is marked by a crash and must not run beside another marked one
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

    /** Where a permit is wanted. */
    sealed interface PermitTarget {}

    /** One endpoint. */
    record EndpointTarget(EndpointId endpoint) implements PermitTarget {}

    /** Any endpoint of a service that the receiver owns; with a model if the service runs models. */
    record ServiceTarget(ServiceName service, Optional<ModelName> model) implements PermitTarget {}

    /** Answers a {@link PermitRequest}. */
    record PermitReply(long callId, PermitDecision decision) implements Reply {}

    /** What the owner decided. */
    sealed interface PermitDecision {}

    /**
     * The sender may start the request within the given time.
     *
     * @param crashId names the end of the endpoint's present life, should it crash with the request
     */
    record PermitGranted(long permitId, EndpointId endpoint, long fencingNumber, long validMillis, String crashId)
            implements PermitDecision {}

    /**
     * The sender may not start the request.
     *
     * @param reason a short stable code
     * @param ownerHint the owner to ask, if the receiver does not own the endpoint and knows who does
     * @param retryAfterMillis when asking again may help
     */
    record PermitRefused(String reason, Optional<InstanceId> ownerHint, long retryAfterMillis)
            implements PermitDecision {}

    /** Returns a permit to the owner. */
    record PermitRelease(
            long permitId, long fencingNumber, EndpointId endpoint, RequestId request, ReleaseReason reason)
            implements PeerMessage {}

    /** Tells the owner how far the work under a permit has come. */
    record PermitStage(EndpointId endpoint, RequestId request, Stage stage) implements PeerMessage {}

    /** The stages of work under a permit. The order is part of the protocol; new values go to the end. */
    enum Stage {
        /** The first byte is about to be sent. */
        STARTED,
        /** The first token arrived. */
        PREFILLED
    }

    /**
     * Asks a holder which permits it has for an endpoint.
     *
     * @param queryNanos the owner's time, which the report repeats
     */
    record HolderQuery(EndpointId endpoint, long queryNanos) implements PeerMessage {}

    /**
     * Names all permits of the sender for one endpoint, so that the owner can free those it lost track of.
     *
     * @param queryNanos the time in the query
     */
    record HolderReport(EndpointId endpoint, long queryNanos, List<HeldPermit> permits) implements PeerMessage {
        /** Copies the list. */
        public HolderReport {
            permits = List.copyOf(permits);
        }
    }

    /** How the work under a permit ended. The order is part of the protocol; new values go to the end. */
    enum ReleaseReason {
        UNUSED,
        FINISHED,
        CANCELLED,
        FAILED,
        CRASHED
    }

    /** Passes the ownership of an endpoint and its permits in flight to the receiver. */
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
     * Tells which fingerprints were in flight at an endpoint that crashed.
     *
     * @param ageMillis how long ago it crashed; processes share no clock
     */
    record CrashNotice(String crashId, EndpointId endpoint, List<Fingerprint> fingerprints, long ageMillis)
            implements PeerMessage {
        /** Copies the list. */
        public CrashNotice {
            fingerprints = List.copyOf(fingerprints);
        }
    }

    /** Tells that a request completed, which clears its marks from the given crashes. */
    record ClearNotice(Fingerprint fingerprint, List<String> crashIds, long ageMillis) implements PeerMessage {
        /** Copies the list. */
        public ClearNotice {
            crashIds = List.copyOf(crashIds);
        }
    }

    /**
     * Asks the arbiter of a fingerprint for consent to one run.
     *
     * @param run names the run
     * @param deadlineMillis the milliseconds left until the request's deadline
     */
    record RunRequest(long callId, Fingerprint fingerprint, RequestId run, long deadlineMillis) implements Call {
        @Override
        public RunRequest withCallId(long id) {
            return new RunRequest(id, fingerprint, run, deadlineMillis);
        }
    }

    /**
     * Answers a {@link RunRequest}.
     *
     * @param waitMillis when asking again may help; 0 unless the verdict is to wait
     * @param marks the crashes that count against the fingerprint
     */
    record RunReply(long callId, RunVerdict verdict, long waitMillis, List<CrashNotice> marks) implements Reply {
        /** Copies the list. */
        public RunReply {
            marks = List.copyOf(marks);
        }
    }

    /** What an arbiter decided. The order is part of the protocol; new values go to the end. */
    enum RunVerdict {
        RUN,
        WAIT,
        REFUSE
    }

    /** Tells the arbiter how a run ended; the crash is named when the endpoint stopped answering. */
    record RunEnded(Fingerprint fingerprint, RequestId run, RunOutcome outcome, Optional<String> crashId)
            implements PeerMessage {}

    /** How a run ended. The order is part of the protocol; new values go to the end. */
    enum RunOutcome {
        COMPLETED,
        RELEASED,
        LOST
    }

    /** Asks for the settings if the receiver has a higher version. */
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

    /** What instances on the users' platform tell each other of the work that they placed and of the store. */
    sealed interface GatewayMessage extends PeerMessage {}

    /**
     * The sender sent a call to endpoints.
     *
     * @param remainingMillis longest time that the work can last
     * @param parts what it occupies, at most {@link PeerCodec#MAX_PARTS}
     */
    record WorkStarted(RequestId request, long remainingMillis, List<WorkPart> parts) implements GatewayMessage {
        /** Copies the list. */
        public WorkStarted {
            parts = List.copyOf(parts);
        }
    }

    /**
     * What a call occupies at one endpoint.
     *
     * @param holdsSlot whether it takes a slot, or only reads a part of the prompt for another endpoint
     * @param prefillMicros time to read its part of the prompt, in microseconds
     * @param memoryTokens tokens that it holds in the endpoint's memory
     * @param objectiveMillis time from the start to the first event that counts as on time
     * @param maxGapMillis longest pause that its stream bears; 0 where it does not stream
     * @param weight what it loses when it is late
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
     * The prompt of a call has been read.
     *
     * @param endpoint the endpoint that answers
     * @param delayMillis how much later than planned the first event came
     */
    record WorkRead(RequestId request, EndpointId endpoint, long delayMillis) implements GatewayMessage {}

    /** A call is no longer at any endpoint. */
    record WorkEnded(RequestId request) implements GatewayMessage {}

    /**
     * Asks how current the receiver's view of the store is.
     *
     * @param queryNanos the sender's monotonic time, returned in the report
     */
    record ContactQuery(long queryNanos) implements GatewayMessage {}

    /**
     * Tells how current the sender's view of the store is.
     *
     * @param queryNanos the time in the query
     * @param ageMillis age of the view when the report was made
     * @param configuration the version of the configuration that the view holds
     */
    record ContactReport(long queryNanos, long ageMillis, long configuration) implements GatewayMessage {}

    /** Tells that an endpoint failed a call of the sender, so that others avoid it for a while. */
    record EndpointFailed(EndpointId endpoint) implements GatewayMessage {}
}
