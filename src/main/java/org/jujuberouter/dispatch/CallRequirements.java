package org.jujuberouter.dispatch;

import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;

/**
 * What one call needs.
 *
 * @param id the call
 * @param service the service that runs it
 * @param promptTokens tokens of its prompt; 0 for a plain service
 * @param outputTokens tokens that it may generate
 * @param objectiveMs time to the first answer that counts as on time, in milliseconds
 * @param gapObjectiveMs longest pause in its stream that counts as on time, in milliseconds; 0 where it does not stream
 * @param callerTimeoutMs time that the caller waits for the first answer before it leaves, in milliseconds
 */
public record CallRequirements(
        RequestId id,
        ServiceName service,
        long promptTokens,
        long outputTokens,
        long objectiveMs,
        long gapObjectiveMs,
        long callerTimeoutMs) {
    /** Tokens of prompt that add the value of one short call. */
    private static final double TOKENS_PER_UNIT_OF_VALUE = 13_000;

    /** Prompt up to which a call counts as short, in tokens; an engine reads it within half of a short call's objective. */
    private static final long MAX_SHORT_PROMPT_TOKENS = 20_000;

    /** Part of the objective for which a call may wait and still be on time. */
    private static final double MAX_ON_TIME_WAIT_FRACTION = 0.7;

    /** Part of the value of an answer that a late one keeps. */
    private static final double LATE_VALUE_FRACTION = 0.25;

    /** Tells whether it is one of the short calls, which need other places than long ones. */
    boolean isShort() {
        return promptTokens <= MAX_SHORT_PROMPT_TOKENS;
    }

    /** Tells whether it can be on time after it has waited for the given time. */
    boolean canBeOnTime(double waitedMs) {
        return waitedMs <= objectiveMs * MAX_ON_TIME_WAIT_FRACTION;
    }

    /** Returns the value of an answer on time, in units of a short call; long prompts are worth more to their callers. */
    private double value() {
        return 1 + promptTokens / TOKENS_PER_UNIT_OF_VALUE;
    }

    /** Returns what an answer on time is worth beyond a late one. */
    public double onTimeGain() {
        return value() * (1 - LATE_VALUE_FRACTION);
    }

    /** Returns what a late answer is worth. */
    public double lateValue() {
        return value() * LATE_VALUE_FRACTION;
    }
}
