package org.jujuberouter.routing;

import java.util.ArrayDeque;

/**
 * What a router knows about one endpoint.
 *
 * <p>The load is the last report, less what the endpoint has processed since, plus what this instance has sent since. The
 * correction matters because a report is up to a second old, in which a burst would go to whichever endpoint looked idle.
 */
final class TrackedEndpoint {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Work that no report has confirmed for this long is taken as done. */
    private static final long MAX_UNREPORTED_NANOS = 10_000_000_000L;
    /** Longest delay in seconds by prompts that are overtaken: half of a step that they fill. */
    private static final double OVERTAKEN_SECONDS = 0.02;

    private static final int LANES = PromptSize.values().length;

    EndpointSpec spec;
    final long nameHash;
    EndpointCondition condition = EndpointCondition.SERVING;
    /** Beliefs about the cache with a lower generation are void. */
    int cacheGeneration;

    long lastCacheSequence = -1;
    long gapNanos = Long.MIN_VALUE;
    private ReportedLoad report;
    private final ArrayDeque<Work> since = new ArrayDeque<>();
    private int sentRequests;
    private final long[] sentPrefill = new long[LANES];
    private long sentKv;

    TrackedEndpoint(EndpointSpec spec, long now) {
        this.spec = spec;
        this.nameHash = PromptBlocks.mix(spec.id().value().hashCode());
        this.report = ReportedLoad.idle(now);
    }

    void report(ReportedLoad newer) {
        if (newer.takenNanos() < report.takenNanos()) {
            return;
        }
        report = newer;
        dropSentUntil(newer.takenNanos());
    }

    Work send(long now, PromptSize lane, long prefillTokens, long kvTokens) {
        dropSentUntil(now - MAX_UNREPORTED_NANOS);
        Work work = new Work(now, lane, prefillTokens, kvTokens);
        since.addLast(work);
        sentRequests++;
        sentPrefill[lane.ordinal()] += prefillTokens;
        sentKv += kvTokens;
        return work;
    }

    void prefilled(Work work) {
        if (work.counted) {
            sentPrefill[work.lane.ordinal()] -= work.prefillTokens;
            work.prefillTokens = 0;
        }
    }

    void ended(Work work) {
        if (work.counted) {
            uncount(work);
            since.remove(work);
        }
    }

    /** Returns the seconds that a request of the lane is expected to wait here. */
    double load(long now, PromptSize lane, RoutingSettings settings) {
        double rate = spec.prefillTokensPerSecond();
        double processed = (now - report.takenNanos()) / NANOS_PER_SECOND * rate;
        double ahead = 0;
        double overtaken = 0;
        for (int i = 0; i < LANES; i++) {
            long reported = switch (i) {
                case 0 -> report.pending().shortTokens();
                case 1 -> report.pending().mediumTokens();
                default -> report.pending().longTokens();
            };
            double left = Math.max(0, reported - processed);
            processed = Math.max(0, processed - reported);
            if (i <= lane.ordinal()) {
                ahead += left + sentPrefill[i];
            } else {
                overtaken += left + sentPrefill[i];
            }
        }
        return ahead / rate
                + Math.min(OVERTAKEN_SECONDS, overtaken / rate)
                + settings.requestCost() * (report.requests() + sentRequests);
    }

    boolean hasRoomFor(long neededTokens) {
        return report.requests() + sentRequests < report.maxRequests()
                && report.kvTokens() + sentKv + neededTokens <= spec.kvTokens();
    }

    private void dropSentUntil(long nanos) {
        while (!since.isEmpty() && since.peekFirst().sentNanos <= nanos) {
            uncount(since.removeFirst());
        }
    }

    private void uncount(Work work) {
        work.counted = false;
        sentRequests--;
        sentPrefill[work.lane.ordinal()] -= work.prefillTokens;
        sentKv -= work.kvTokens;
    }

    /** Work that this instance sent and no report shows yet. */
    static final class Work {
        private final long sentNanos;
        private final PromptSize lane;
        private final long kvTokens;
        private long prefillTokens;
        private boolean counted = true;

        private Work(long sentNanos, PromptSize lane, long prefillTokens, long kvTokens) {
            this.lane = lane;
            this.sentNanos = sentNanos;
            this.prefillTokens = prefillTokens;
            this.kvTokens = kvTokens;
        }
    }
}
