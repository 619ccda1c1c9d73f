package org.jujuberouter.admission;

/**
 * Decides whether one more request of a lane fits beside what is in use.
 *
 * <p>The longer lanes leave slots and memory to the short one, so that short requests do not wait behind long ones. In turn
 * a longer request at the head of its queue has memory set aside that shorter lanes may not refill; otherwise a steady
 * stream of short requests would keep it waiting until its deadline.
 */
final class LaneRules {
    /** Part of the memory that medium and long requests may use together; the rest is kept for short ones. */
    private static final double NON_SHORT_MEMORY = 0.8;

    /** Part of the memory that one request may use; what is permitted and not sent must fit a lapsed share. */
    private static final double UNSENT_MEMORY = 0.75;

    /** Part of the memory that long requests may use beside medium ones. */
    private static final double LONG_MEMORY = 0.6;

    /** One slot in this many is kept for short requests, and as many for longer ones while they wait. */
    private static final long RESERVED_SLOT_PART = 4;

    private LaneRules() {}

    /** Returns the most tokens that one request can have at an endpoint of this size. */
    static long largest(Capacity warm) {
        return part(warm.tokens(), UNSENT_MEMORY);
    }

    /**
     * Tells whether a request fits.
     *
     * @param limit what may be in use in total
     * @param mediumHead tokens of the medium request that waits first, 0 if none does
     * @param longHead tokens of the long request that waits first, 0 if none does
     */
    static boolean fits(
            PromptClass promptClass, long tokens, LaneUsage use, Capacity limit, long mediumHead, long longHead) {
        if (use.slots() + 1 > limit.slots() || use.tokens() + tokens > limit.tokens()) {
            return false;
        }
        long nonShortLimit = part(limit.tokens(), NON_SHORT_MEMORY);
        long forLong = use.longPrefills() > 0 ? 0 : Math.min(longHead, part(limit.tokens(), LONG_MEMORY));
        return switch (promptClass) {
            case SHORT -> {
                boolean longerWaits = mediumHead + longHead > 0;
                long setAside = Math.min(nonShortLimit, mediumHead + forLong);
                long slotsAside = longerWaits ? reservedSlots(limit.slots()) : 0;
                yield use.slots(PromptClass.SHORT) + 1 <= limit.slots() - slotsAside
                        && use.tokens(PromptClass.SHORT) + tokens <= limit.tokens() - setAside;
            }
            case MEDIUM ->
                nonShortFits(tokens, use, limit) && use.tokens(PromptClass.MEDIUM) + tokens <= nonShortLimit - forLong;
            case LONG ->
                use.longPrefills() == 0
                        && nonShortFits(tokens, use, limit)
                        && (use.tokens(PromptClass.LONG) + tokens <= part(limit.tokens(), LONG_MEMORY)
                                || use.slots(PromptClass.MEDIUM) + use.slots(PromptClass.LONG) == 0);
        };
    }

    private static boolean nonShortFits(long tokens, LaneUsage use, Capacity limit) {
        long slots = use.slots(PromptClass.MEDIUM) + use.slots(PromptClass.LONG);
        long held = use.tokens(PromptClass.MEDIUM) + use.tokens(PromptClass.LONG);
        return slots + 1 <= limit.slots() - reservedSlots(limit.slots())
                && held + tokens <= part(limit.tokens(), NON_SHORT_MEMORY);
    }

    private static long reservedSlots(long slots) {
        return slots / RESERVED_SLOT_PART;
    }

    private static long part(long tokens, double fraction) {
        return (long) (tokens * fraction);
    }
}
