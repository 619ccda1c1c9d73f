package org.jujuberouter.dispatch;

import java.util.Optional;
import org.jujuberouter.catalog.Customer;
import org.jujuberouter.catalog.EngineCostModel;
import org.jujuberouter.catalog.Route;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;

/**
 * The resources and the latency objectives of a call.
 *
 * @param id the id of the call
 * @param service the service that is called
 * @param promptTokens length of the prompt in tokens; 0 for a plain service
 * @param outputTokens maximum number of tokens to generate
 * @param objectiveMs objective for the time to the answer or to its first event, in milliseconds
 * @param gapObjectiveMs objective for the gap between two events, in milliseconds; 0 if the answer is not a stream
 * @param callerTimeoutMs time after which a caller without an answer or a first event disconnects, in milliseconds
 * @param requestBytes size of the request body, in bytes; 0 if unknown
 * @param claim the work of the call and its customer
 */
public record CallRequirements(
        RequestId id,
        ServiceName service,
        long promptTokens,
        long outputTokens,
        long objectiveMs,
        long gapObjectiveMs,
        long callerTimeoutMs,
        long requestBytes,
        WorkClaim claim) {
    /** Prompt tokens that add the value of one short call. */
    private static final double TOKENS_PER_UNIT_OF_VALUE = 13_000;

    /** Maximum prompt of a short call; an engine prefills it within half of a short call's latency objective. */
    private static final long MAX_SHORT_PROMPT_TOKENS = 20_000;

    /** Fraction of the latency objective for which a call may wait and still be on time. */
    private static final double MAX_ON_TIME_WAIT_FRACTION = 0.7;

    /** Fraction of the latency objective for which a call may wait behind calls of a higher priority. */
    private static final double MAX_YIELDING_FRACTION = MAX_ON_TIME_WAIT_FRACTION / 2;

    /** Fraction of its value that a late answer keeps. */
    private static final double LATE_VALUE_FRACTION = 0.25;

    /** Creates the requirements of a call whose size, customer and work are not known. */
    public CallRequirements(
            RequestId id,
            ServiceName service,
            long promptTokens,
            long outputTokens,
            long objectiveMs,
            long gapObjectiveMs,
            long callerTimeoutMs) {
        this(id, service, promptTokens, outputTokens, objectiveMs, gapObjectiveMs, callerTimeoutMs, 0, WorkClaim.NONE);
    }

    /** Returns these requirements with the size of the request body. */
    public CallRequirements withRequestBytes(long bytes) {
        return new CallRequirements(
                id, service, promptTokens, outputTokens, objectiveMs, gapObjectiveMs, callerTimeoutMs, bytes, claim);
    }

    /** Returns these requirements on behalf of a customer, with the work by the cost model of the service. */
    public CallRequirements claimedBy(Optional<Customer> customer, Route route, ServiceSpec declaration) {
        return withClaim(WorkClaim.of(customer, route, workMs(declaration)));
    }

    /** Returns these requirements without the work, which has been charged already. */
    public CallRequirements charged() {
        return withClaim(new WorkClaim(claim.customer(), claim.priority(), 0));
    }

    /** Returns these requirements with the given claim. */
    CallRequirements withClaim(WorkClaim newClaim) {
        return new CallRequirements(
                id,
                service,
                promptTokens,
                outputTokens,
                objectiveMs,
                gapObjectiveMs,
                callerTimeoutMs,
                requestBytes,
                newClaim);
    }

    /** Returns whether the prompt is short; short and long prompts are placed on different engines. */
    boolean isShort() {
        return promptTokens <= MAX_SHORT_PROMPT_TOKENS;
    }

    /** Returns whether the call can still be on time after the given waiting time. */
    boolean canBeOnTime(double waitedMs) {
        return waitedMs <= objectiveMs * MAX_ON_TIME_WAIT_FRACTION;
    }

    /** Returns whether the call can still wait behind calls of a higher priority after the given waiting time. */
    boolean yieldsToHigherPriority(double waitedMs) {
        return waitedMs <= objectiveMs * MAX_YIELDING_FRACTION;
    }

    /** Returns the value of an answer on time, in units of a short call; it grows with the length of the prompt. */
    private double value() {
        return 1 + promptTokens / TOKENS_PER_UNIT_OF_VALUE;
    }

    /**
     * Returns the time to the end of the answer, in milliseconds: on an engine whose slots and memory are all in use, or
     * the objective if the service has no cost model.
     */
    public double expectedMs(ServiceSpec declaration) {
        if (declaration.engine().isEmpty()) {
            return objectiveMs;
        }
        EngineCostModel engine = declaration.engine().get();
        long contextTokens = Math.min(engine.kvCapacityTokens(), engine.slots() * (promptTokens + outputTokens));
        double iterations = Math.ceil(outputTokens / (double) engine.decodeStepsPerIteration());
        return engine.prefillMs(promptTokens) + iterations * engine.decodeIterationMs(engine.slots(), contextTokens);
    }

    /**
     * Returns the time of an engine that the call uses, in milliseconds: the prefill, which no other call can use, and its
     * part of the time in which it holds one of the slots. Calls of a service without a cost model differ only in their
     * objective.
     */
    double workMs(ServiceSpec declaration) {
        if (declaration.engine().isEmpty()) {
            return objectiveMs;
        }
        EngineCostModel engine = declaration.engine().get();
        return engine.prefillMs(promptTokens) + expectedMs(declaration) / engine.slots();
    }

    /** Returns how much more an answer on time is worth than a late one, in units of a short call. */
    public double onTimeGain() {
        return value() * (1 - LATE_VALUE_FRACTION);
    }

    /** Returns the value of a late answer, in units of a short call. */
    public double lateValue() {
        return value() * LATE_VALUE_FRACTION;
    }
}
