package org.jujuberouter.routing;

import java.util.ArrayDeque;

/**
 * What a router tracks about one endpoint.
 *
 * <p>The estimated load is the last report, minus what the endpoint has processed since, plus what this instance has
 * sent since. A report is up to one second old; without the correction a burst would go to the endpoint that last
 * reported idle.
 */
final class CandidateEndpoint {
    private static final double NANOS_PER_SECOND = 1e9;
    /** Requests that were sent longer ago than this are assumed complete even if no report has arrived since. */
    private static final long MAX_UNREPORTED_NANOS = 10_000_000_000L;
    /** Longest delay in seconds caused by prompts that are overtaken: half of a step that they fill. */
    private static final double MAX_OVERTAKEN_SECONDS = 0.02;

    private static final int SIZES = PromptSize.values().length;

    EndpointSpec spec;
    final long idHash;
    EndpointCondition condition = EndpointCondition.SERVING;
    /** Entries of the prefix cache index that carry a lower generation are invalid. */
    int cacheGeneration;

    long lastCacheSequence = -1;
    long lastGapNanos = Long.MIN_VALUE;
    private ReportedLoad report;
    private final ArrayDeque<UnreportedWork> unreported = new ArrayDeque<>();
    private int sentRequests;
    private final long[] sentPrefill = new long[SIZES];
    private long sentKv;

    CandidateEndpoint(EndpointSpec spec, long now) {
        this.spec = spec;
        this.idHash = PromptBlocks.mix(spec.id().value().hashCode());
        this.report = ReportedLoad.idle(now);
    }

    void report(ReportedLoad newer) {
        if (newer.takenNanos() < report.takenNanos()) {
            return;
        }
        report = newer;
        removeSentUntil(newer.takenNanos());
    }

    UnreportedWork recordSent(long now, PromptSize size, long prefillTokens, long kvTokens) {
        removeSentUntil(now - MAX_UNREPORTED_NANOS);
        UnreportedWork work = new UnreportedWork(now, size, prefillTokens, kvTokens);
        unreported.addLast(work);
        sentRequests++;
        sentPrefill[size.ordinal()] += prefillTokens;
        sentKv += kvTokens;
        return work;
    }

    void prefilled(UnreportedWork work) {
        if (work.counted) {
            sentPrefill[work.size.ordinal()] -= work.prefillTokens;
            work.prefillTokens = 0;
        }
    }

    void ended(UnreportedWork work) {
        if (work.counted) {
            uncount(work);
            unreported.remove(work);
        }
    }

    /** Returns the expected wait of a request of the given size at this endpoint, in seconds. */
    double expectedWait(long now, PromptSize size, RoutingSettings settings) {
        double rate = spec.prefillTokensPerSecond();
        double processed = (now - report.takenNanos()) / NANOS_PER_SECOND * rate;
        double ahead = 0;
        double overtaken = 0;
        for (int i = 0; i < SIZES; i++) {
            long reported = switch (i) {
                case 0 -> report.pending().shortTokens();
                case 1 -> report.pending().mediumTokens();
                default -> report.pending().longTokens();
            };
            double left = Math.max(0, reported - processed);
            processed = Math.max(0, processed - reported);
            if (i <= size.ordinal()) {
                ahead += left + sentPrefill[i];
            } else {
                overtaken += left + sentPrefill[i];
            }
        }
        return ahead / rate
                + Math.min(MAX_OVERTAKEN_SECONDS, overtaken / rate)
                + settings.requestCost() * (report.requests() + sentRequests);
    }

    boolean hasRoomFor(long neededTokens) {
        return report.requests() + sentRequests < report.maxRequests()
                && report.kvTokens() + sentKv + neededTokens <= spec.kvTokens();
    }

    private void removeSentUntil(long nanos) {
        while (!unreported.isEmpty() && unreported.peekFirst().sentNanos <= nanos) {
            uncount(unreported.removeFirst());
        }
    }

    private void uncount(UnreportedWork work) {
        work.counted = false;
        sentRequests--;
        sentPrefill[work.size.ordinal()] -= work.prefillTokens;
        sentKv -= work.kvTokens;
    }

    /** A request that this instance sent and that no report includes yet. */
    static final class UnreportedWork {
        private final long sentNanos;
        private final PromptSize size;
        private final long kvTokens;
        private long prefillTokens;
        private boolean counted = true;

        private UnreportedWork(long sentNanos, PromptSize size, long prefillTokens, long kvTokens) {
            this.size = size;
            this.sentNanos = sentNanos;
            this.prefillTokens = prefillTokens;
            this.kvTokens = kvTokens;
        }
    }
}
