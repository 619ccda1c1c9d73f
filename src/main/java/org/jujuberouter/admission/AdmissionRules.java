package org.jujuberouter.admission;

/**
 * Decides whether one more request of a prompt class fits within the limit.
 *
 * <p>Some slots and memory are reserved for short requests, so that they do not wait behind long ones. Conversely,
 * memory that becomes free is reserved for a longer request at the head of its queue; otherwise a steady stream of
 * short requests would keep it waiting until its deadline.
 */
final class AdmissionRules {
    /** Fraction of the memory that medium and long requests may use together; the rest is reserved for short ones. */
    private static final double NON_SHORT_MEMORY_FRACTION = 0.8;

    /** Fraction of the memory that one request may use, since permits not yet in use must fit a lapsed share. */
    private static final double MAX_REQUEST_MEMORY_FRACTION = 0.75;

    /** Fraction of the memory that long requests may use while other medium or long requests are running. */
    private static final double LONG_MEMORY_FRACTION = 0.6;

    /** One slot in this many is reserved for short requests, and as many for longer requests while any are waiting. */
    private static final long RESERVED_SLOT_DIVISOR = 4;

    private AdmissionRules() {}

    /** Returns the largest number of tokens of one request at an endpoint of the given warm capacity. */
    static long maxRequestTokens(Capacity warm) {
        return fractionOf(warm.tokens(), MAX_REQUEST_MEMORY_FRACTION);
    }

    /**
     * Returns whether a request fits.
     *
     * @param limit the total that may be in use
     * @param mediumHead the tokens of the first waiting medium request, 0 if none is waiting
     * @param longHead the tokens of the first waiting long request, 0 if none is waiting
     */
    static boolean fits(
            PromptClass promptClass, long tokens, CapacityUsage usage, Capacity limit, long mediumHead, long longHead) {
        if (usage.slots() + 1 > limit.slots() || usage.tokens() + tokens > limit.tokens()) {
            return false;
        }
        long nonShortLimit = fractionOf(limit.tokens(), NON_SHORT_MEMORY_FRACTION);
        long reservedForLong =
                usage.longPrefills() > 0 ? 0 : Math.min(longHead, fractionOf(limit.tokens(), LONG_MEMORY_FRACTION));
        return switch (promptClass) {
            case SHORT -> {
                boolean longerWaits = mediumHead + longHead > 0;
                long reservedTokens = Math.min(nonShortLimit, mediumHead + reservedForLong);
                long slotsForLonger = longerWaits ? reservedSlots(limit.slots()) : 0;
                yield usage.slots(PromptClass.SHORT) + 1 <= limit.slots() - slotsForLonger
                        && usage.tokens(PromptClass.SHORT) + tokens <= limit.tokens() - reservedTokens;
            }
            case MEDIUM ->
                nonShortFits(tokens, usage, limit)
                        && usage.tokens(PromptClass.MEDIUM) + tokens <= nonShortLimit - reservedForLong;
            case LONG ->
                usage.longPrefills() == 0
                        && nonShortFits(tokens, usage, limit)
                        && (usage.tokens(PromptClass.LONG) + tokens <= fractionOf(limit.tokens(), LONG_MEMORY_FRACTION)
                                || usage.slots(PromptClass.MEDIUM) + usage.slots(PromptClass.LONG) == 0);
        };
    }

    private static boolean nonShortFits(long tokens, CapacityUsage usage, Capacity limit) {
        long slots = usage.slots(PromptClass.MEDIUM) + usage.slots(PromptClass.LONG);
        long held = usage.tokens(PromptClass.MEDIUM) + usage.tokens(PromptClass.LONG);
        return slots + 1 <= limit.slots() - reservedSlots(limit.slots())
                && held + tokens <= fractionOf(limit.tokens(), NON_SHORT_MEMORY_FRACTION);
    }

    private static long reservedSlots(long slots) {
        return slots / RESERVED_SLOT_DIVISOR;
    }

    private static long fractionOf(long tokens, double fraction) {
        return (long) (tokens * fraction);
    }
}
