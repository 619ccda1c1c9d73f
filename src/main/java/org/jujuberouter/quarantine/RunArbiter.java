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
 * Lets identical requests run one at a time until one of them has completed.
 *
 * <p>Crash notices cannot bound the loss alone: a caller that resends faster than notices travel, or in parallel, reaches
 * owners that know nothing yet. Therefore one instance decides for each fingerprint, the first in rendezvous order of the
 * live ones, and every run needs its consent. While no run of a request has ever completed, only one is under way. After a
 * run whose endpoint stopped answering, the next one waits for the crash notice. A request that crashes every endpoint never
 * completes, so it gets exactly two runs: the one that marks it and the one that convicts it.
 *
 * <p>A request that has completed is <em>proven</em> and runs any number of times at once, until a crash marks it again.
 *
 * <p>The end of a run is reported to the instance that is the arbiter then, which may not be the one that consented. A new
 * arbiter can thus consent to one run beside the one under way. If notices are so slow that it knows no earlier crash, it
 * loses two endpoints of its own: the bound is two per arbiter, and three when notices are faster than runs.
 *
 * <p>Thread-safe.
 */
public final class RunArbiter {
    /**
     * How long a lost endpoint blocks the next run if neither a crash notice nor an all-clear arrives. An owner declares its
     * endpoint dead within 3 s, and notices take milliseconds.
     */
    public static final Duration VERDICT_WAIT = Duration.ofSeconds(10);

    private static final int MAX_PROVEN = 65_536;

    private final CrashEvidence evidence;
    private final Ticker ticker;
    private final Map<Fingerprint, Map<RequestId, Run>> runs = new HashMap<>();
    private final Map<Fingerprint, Long> proven = new LinkedHashMap<>();

    private RunArbiter(CrashEvidence evidence, Ticker ticker) {
        this.evidence = evidence;
        this.ticker = ticker;
    }

    /** Returns the arbiter of an instance, which shares the instance's evidence. */
    public static RunArbiter of(CrashEvidence evidence, Ticker ticker) {
        return new RunArbiter(evidence, ticker);
    }

    /**
     * Asks for consent to one run.
     *
     * @param id names this run, different for each run of a request
     * @param timeLeft the time to the request's deadline, when the run is over even if nobody reports it
     */
    public synchronized RunDecision request(Fingerprint fingerprint, RequestId id, Duration timeLeft) {
        QuarantineStatus status = evidence.status(fingerprint);
        if (status == QuarantineStatus.QUARANTINED) {
            return new RunDecision.Refuse();
        }
        Map<RequestId, Run> active = activeRuns(fingerprint);
        boolean alone = status == QuarantineStatus.MARKED || !isProven(fingerprint);
        if (alone && !active.isEmpty() && !active.containsKey(id)) {
            long until =
                    active.values().stream().mapToLong(r -> r.untilNanos).max().orElseThrow();
            return new RunDecision.Wait(until);
        }
        List<CrashNotice> marks = evidence.noticesFor(fingerprint);
        active.put(id, new Run(ticker.nanos() + timeLeft.toNanos()));
        runs.put(fingerprint, active);
        return new RunDecision.Run(marks);
    }

    /** Takes the report that the whole answer of a run arrived. */
    public synchronized void completed(Fingerprint fingerprint, RequestId id) {
        if (proven.size() >= MAX_PROVEN && !proven.containsKey(fingerprint)) {
            proven.remove(proven.keySet().iterator().next());
        }
        proven.put(fingerprint, ticker.nanos() + CrashEvidence.EXPIRY.toNanos());
        released(fingerprint, id);
    }

    /**
     * Takes the report that a run is over and its endpoint alive: refused, cancelled, deadline passed. May follow
     * {@link #lost}, which then no longer holds up the next run.
     */
    public synchronized void released(Fingerprint fingerprint, RequestId id) {
        Map<RequestId, Run> active = activeRuns(fingerprint);
        active.remove(id);
        if (active.isEmpty()) {
            runs.remove(fingerprint);
        }
    }

    /**
     * Takes the report that the endpoint of a run stopped answering; it may have crashed.
     *
     * @param crashId the id that a crash of the endpoint would have, from the run's permit
     */
    public synchronized void lost(Fingerprint fingerprint, RequestId id, String crashId) {
        proven.remove(fingerprint);
        Map<RequestId, Run> active = activeRuns(fingerprint);
        Run run = active.computeIfAbsent(id, r -> new Run(0));
        run.untilNanos = ticker.nanos() + VERDICT_WAIT.toNanos();
        run.crashId = crashId;
        runs.put(fingerprint, active);
    }

    /** Forgets runs whose time is over; to be called every few seconds. */
    public synchronized void expire() {
        runs.entrySet().removeIf(e -> {
            removeOver(e.getKey(), e.getValue());
            return e.getValue().isEmpty();
        });
        proven.values().removeIf(until -> until - ticker.nanos() <= 0);
    }

    /** Returns how many requests have runs under way or unexplained. */
    public synchronized int size() {
        return runs.size();
    }

    private Map<RequestId, Run> activeRuns(Fingerprint fingerprint) {
        Map<RequestId, Run> of = runs.getOrDefault(fingerprint, new HashMap<>());
        removeOver(fingerprint, of);
        return of;
    }

    /** Removes runs past their time, and lost runs that a crash notice has explained. */
    private void removeOver(Fingerprint fingerprint, Map<RequestId, Run> of) {
        long now = ticker.nanos();
        List<CrashNotice> marks = evidence.noticesFor(fingerprint);
        of.values()
                .removeIf(r -> r.untilNanos - now <= 0
                        || marks.stream().anyMatch(n -> n.crashId().equals(r.crashId)));
    }

    private boolean isProven(Fingerprint fingerprint) {
        Long until = proven.get(fingerprint);
        return until != null && until - ticker.nanos() > 0;
    }

    private static final class Run {
        private long untilNanos;
        /** The crash that would explain the loss, or null while the run is not lost. */
        private String crashId;

        private Run(long untilNanos) {
            this.untilNanos = untilNanos;
        }
    }
}
