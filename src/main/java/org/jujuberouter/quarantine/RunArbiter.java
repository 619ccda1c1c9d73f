package org.jujuberouter.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Ticker;

/**
 * Serializes identical requests until one of them has completed.
 *
 * <p>Crash notices alone cannot bound the loss: a caller that resends faster than notices propagate, or in parallel,
 * reaches owners that have not received them. Therefore the first live instance in rendezvous order is the arbiter of a
 * fingerprint, and every run needs its permission. Until a run of a request has completed, only one runs at a time. If
 * the endpoint of a run stopped answering, the next run waits for the crash notice. A request that crashes every
 * endpoint never completes, so it gets exactly two runs: the first marks it and the second quarantines it.
 *
 * <p>A request that has completed may run any number of times concurrently, until a crash marks it again.
 *
 * <p>The end of a run is reported to the instance that is the arbiter then, which may not be the one that permitted the
 * run. A new arbiter can therefore permit a second run beside an active one. If notices are so slow that it knows no
 * earlier crash, two more endpoints are lost: the bound is two per arbiter, and three in total if notices are faster
 * than runs.
 *
 * <p>Thread-safe.
 */
public final class RunArbiter {
    /**
     * How long a lost endpoint blocks the next run if neither a crash notice nor a release arrives. An owner declares
     * its endpoint dead within 3 s, and notices take milliseconds.
     */
    public static final Duration CRASH_NOTICE_TIMEOUT = Duration.ofSeconds(10);

    private static final int MAX_COMPLETED = 65_536;

    private final CrashEvidence evidence;
    private final Ticker ticker;
    private final Map<Fingerprint, Map<RequestId, Run>> runs = new HashMap<>();
    private final Map<Fingerprint, Long> completedUntil = new LinkedHashMap<>();

    private RunArbiter(CrashEvidence evidence, Ticker ticker) {
        this.evidence = evidence;
        this.ticker = ticker;
    }

    /** Returns an arbiter that uses the crash evidence of its instance. */
    public static RunArbiter of(CrashEvidence evidence, Ticker ticker) {
        return new RunArbiter(evidence, ticker);
    }

    /**
     * Decides whether a run may start.
     *
     * @param id the id of the run, different for each run of a request
     * @param timeLeft the time to the request's deadline, when the run ends even if no report arrives
     */
    public synchronized RunDecision request(Fingerprint fingerprint, RequestId id, Duration timeLeft) {
        QuarantineStatus status = evidence.status(fingerprint);
        if (status == QuarantineStatus.QUARANTINED) {
            return new RunDecision.Refuse();
        }
        Map<RequestId, Run> activeRuns = activeRunsOf(fingerprint);
        boolean exclusive = status == QuarantineStatus.MARKED || !hasCompleted(fingerprint);
        if (exclusive && !activeRuns.isEmpty() && !activeRuns.containsKey(id)) {
            long until = activeRuns.values().stream()
                    .mapToLong(r -> r.untilNanos)
                    .max()
                    .orElseThrow();
            return new RunDecision.Wait(until);
        }
        List<CrashNotice> marks = evidence.noticesFor(fingerprint);
        activeRuns.put(id, new Run(ticker.nanos() + timeLeft.toNanos()));
        runs.put(fingerprint, activeRuns);
        return new RunDecision.Run(marks);
    }

    /** Records that the response of a run is complete. */
    public synchronized void completed(Fingerprint fingerprint, RequestId id) {
        if (completedUntil.size() >= MAX_COMPLETED && !completedUntil.containsKey(fingerprint)) {
            completedUntil.remove(completedUntil.keySet().iterator().next());
        }
        completedUntil.put(fingerprint, ticker.nanos() + CrashEvidence.MARK_LIFETIME.toNanos());
        released(fingerprint, id);
    }

    /**
     * Records that a run ended with its endpoint alive: refused, cancelled or past its deadline. A call after
     * {@link #lost} unblocks the next run.
     */
    public synchronized void released(Fingerprint fingerprint, RequestId id) {
        Map<RequestId, Run> activeRuns = activeRunsOf(fingerprint);
        activeRuns.remove(id);
        if (activeRuns.isEmpty()) {
            runs.remove(fingerprint);
        }
    }

    /**
     * Records that the endpoint of a run stopped answering and may have crashed.
     *
     * @param crashId the id that a crash of the endpoint would have, as carried by the run's permit
     */
    public synchronized void lost(Fingerprint fingerprint, RequestId id, String crashId) {
        completedUntil.remove(fingerprint);
        Map<RequestId, Run> activeRuns = activeRunsOf(fingerprint);
        Run run = activeRuns.computeIfAbsent(id, _ -> new Run(0));
        run.untilNanos = ticker.nanos() + CRASH_NOTICE_TIMEOUT.toNanos();
        run.crashId = crashId;
        runs.put(fingerprint, activeRuns);
    }

    /** Removes expired runs and completions; to be called every few seconds. */
    public synchronized void expire() {
        runs.entrySet().removeIf(e -> {
            removeEnded(e.getKey(), e.getValue());
            return e.getValue().isEmpty();
        });
        completedUntil.values().removeIf(until -> until - ticker.nanos() <= 0);
    }

    /** Returns the number of requests with active runs or with lost runs that no crash notice has explained. */
    public synchronized int size() {
        return runs.size();
    }

    private Map<RequestId, Run> activeRunsOf(Fingerprint fingerprint) {
        Map<RequestId, Run> runsOfFingerprint = runs.getOrDefault(fingerprint, new HashMap<>());
        removeEnded(fingerprint, runsOfFingerprint);
        return runsOfFingerprint;
    }

    /** Removes expired runs, and lost runs whose crash notice has arrived. */
    private void removeEnded(Fingerprint fingerprint, Map<RequestId, Run> runsOfFingerprint) {
        long now = ticker.nanos();
        List<CrashNotice> marks = evidence.noticesFor(fingerprint);
        runsOfFingerprint
                .values()
                .removeIf(r -> r.untilNanos - now <= 0
                        || marks.stream().anyMatch(n -> n.crashId().equals(r.crashId)));
    }

    private boolean hasCompleted(Fingerprint fingerprint) {
        Long until = completedUntil.get(fingerprint);
        return until != null && until - ticker.nanos() > 0;
    }

    private static final class Run {
        private long untilNanos;
        /** The id of the crash that would explain the loss, or null while the run is not lost. */
        private String crashId;

        private Run(long untilNanos) {
            this.untilNanos = untilNanos;
        }
    }
}
