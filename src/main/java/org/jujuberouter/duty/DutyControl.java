package org.jujuberouter.duty;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.misc.Ticker;

/**
 * The duties of one instance: its part in the election, its reports to the leader, and, while it leads, the usage
 * reports to the platform.
 *
 * <p>{@link #tick} has to be called several times per second; everything else follows from the events that are passed
 * to the other methods.
 */
public final class DutyControl {
    /** Interval of reports to the leader; an instance that dies loses the counts of at most this time. */
    private static final long REPORT_INTERVAL_MS = 1_000;

    /** Time after the end of a window before which its counts are not committed; reports arrive within it. */
    private static final long MIN_COMMIT_DELAY_MS = 1_000;

    /** Time after the end of a window at which its counts are committed even if reports are missing. */
    private static final long MAX_COMMIT_DELAY_MS = 3_000;

    /** Time in which instances learn of a new leader, by a watch that batches changes for 0.6 s, and report to it. */
    private static final long MIN_SETTLE_MS = 1_000;

    /** Time after which a new leader commits windows although reports are missing. */
    private static final long MAX_SETTLE_MS = 2_500;

    /** Time for which counts are kept that are not committed. */
    private static final long MAX_COUNT_AGE_MS = 60_000;

    /** Delay after a commit that failed, within which the watch shows the reason. */
    private static final long COMMIT_RETRY_MS = 500;

    private final Ticker ticker;
    private final Incarnation self;
    private final DutySettings settings;
    private final DutyActions actions;
    private final LeaseValidity lease;
    private final HolderElection election;
    private final TrueTime time;
    private final UsageCounts counts = UsageCounts.empty();
    private final ReporterTable reporters = ReporterTable.empty();
    private final CommittedWindows windows;
    private final CallRate callRate;
    private Collection<InstanceId> listed;
    private StorePosition viewPosition = StorePosition.NONE;
    private long termStartedMs;
    private Optional<DutyTerm> knownTerm = Optional.empty();
    private boolean stopping;
    private boolean ended;
    private Optional<Commit> openCommit = Optional.empty();
    private boolean committing;
    private boolean commitDelayed;
    private long commitFailedMs;
    private boolean sendingUsage;
    private int callsInFlight;
    private boolean reported;
    private long reportedMs;
    private long reportedWindow;
    private long repliedUptimeMs = -1;
    private long lastGivenUp;

    /** A commit that may have been made or may still be made. */
    private record Commit(long window, Map<CustomerId, Long> counts) {}

    private DutyControl(
            Ticker ticker,
            Ticker wallClock,
            Incarnation self,
            DutySettings settings,
            long leaseMs,
            boolean firstStart,
            DutyActions actions) {
        this.ticker = ticker;
        this.self = self;
        this.settings = settings;
        this.actions = actions;
        this.lease = LeaseValidity.of(ticker, wallClock, leaseMs, settings.thawMs());
        this.election = HolderElection.of(ticker, self.instance(), settings.alternationMs(), firstStart);
        this.time = TrueTime.of(ticker, wallClock);
        this.windows = CommittedWindows.empty(ticker);
        this.callRate = CallRate.of(ticker, settings.callsPerSecond());
        this.listed = List.of(self.instance());
    }

    /**
     * Returns the duties of an instance that has just started.
     *
     * @param leaseMs duration of the lease of its registration
     * @param firstStart whether no instance has run before
     */
    public static DutyControl of(
            Ticker ticker,
            Ticker wallClock,
            Incarnation self,
            DutySettings settings,
            long leaseMs,
            boolean firstStart,
            DutyActions actions) {
        return new DutyControl(ticker, wallClock, self, settings, leaseMs, firstStart, actions);
    }

    /**
     * Does what is due.
     *
     * @param instances the instances that the store lists or that are connected, including this one
     * @param position the position of the view of the store
     */
    public void tick(Collection<InstanceId> instances, StorePosition position) {
        listed = instances;
        viewPosition = position;
        if (position.isKnown()) {
            election.viewKnown();
        }
        counts.removeThrough(windowOf(time.nowMs() - MAX_COUNT_AGE_MS));
        long obsolete = election.revisionToDelete();
        if (obsolete > 0) {
            actions.deleteHolder(obsolete);
        }
        if (!stopping && election.shouldAttempt(instances)) {
            election.attemptSent();
            actions.createHolder();
        }
        if (isReleaseDue()) {
            release();
        } else if (settings.usageReports() && mayAct()) {
            commitNext();
            sendNext();
        }
    }

    private boolean isReleaseDue() {
        return isLeaving() && callsInFlight == 0 && !committing && term().isPresent();
    }

    private void release() {
        DutyTerm term = term().orElseThrow();
        election.resign();
        actions.log("leadership released", Map.entry("token", term.token()));
        actions.deleteHolder(term.token());
        termChanged();
    }

    /** Begins the graceful stop: leadership is released as soon as no call is in flight, if there are others. */
    public void stop() {
        stopping = true;
    }

    /** Ends the duties before the process exits; leadership is released as soon as no call is in flight. */
    public void end() {
        stopping = true;
        ended = true;
    }

    /** Returns whether this instance does not lead and has no call or write in flight. */
    public boolean isIdle() {
        return term().isEmpty() && callsInFlight == 0 && !committing;
    }

    /** Returns the term while this instance is the leader; it may be used only if {@link #mayAct} holds. */
    public Optional<DutyTerm> term() {
        return election.term();
    }

    /** Returns the instance that holds the duties by the view of the store. */
    public Optional<InstanceId> holder() {
        return election.holder();
    }

    /** Returns whether this instance is the leader, knows that its lease is held, and has seen all earlier terms. */
    public boolean mayAct() {
        return term().isPresent()
                && viewPosition.includes(term().get().createdAt())
                && !isLeaving()
                && lease.isCertain();
    }

    /** Returns whether a call of the given term may be sent at this moment. */
    public boolean maySend(DutyTerm term) {
        return term().filter(term::equals).isPresent() && lease.isCertain();
    }

    /** Returns whether leadership is to be released; the last instance keeps it until its process ends. */
    private boolean isLeaving() {
        return ended || stopping && listed.size() > 1;
    }

    /** Takes the right to one call within the rate limit; the result has to be passed to {@link #callEnded}. */
    public boolean beginCall() {
        if (!mayAct() || !callRate.tryAcquire()) {
            return false;
        }
        callsInFlight++;
        election.called();
        return true;
    }

    /** Records the result of a call; a term whose token was refused ends at once. */
    public void callEnded(DutyTerm term, DutyResult result) {
        callsInFlight--;
        if (term().isPresent()) {
            election.called();
        }
        if (result == DutyResult.FENCED && term().filter(term::equals).isPresent()) {
            actions.log("leadership refused", Map.entry("token", term.token()));
            election.resign();
            termChanged();
        }
    }

    /** Records that the store acknowledged a grant or renewal of the lease that was sent at the given time. */
    public void leaseRenewed(long sentNanos) {
        lease.renewed(sentNanos);
    }

    /** Records that the lease of the registration is lost. */
    public void leaseLost() {
        lease.lost();
        election.resign();
        termChanged();
    }

    /** Records the holder's key. */
    public void holderWritten(InstanceId instance, StorePosition position) {
        if (election.written(instance, position)) {
            termChanged();
            reported = false;
            actions.log("leader changed", Map.entry("leader", instance), Map.entry("token", position.revision()));
        }
    }

    /** Records that the holder's key with the given position is gone. */
    public void holderRemoved(StorePosition position) {
        if (election.removed(position)) {
            termChanged();
            actions.log("leader gone", Map.entry("token", position.revision()));
        }
    }

    /** Records the outcome of {@link DutyActions#createHolder}. */
    public void holderCreated(StoreWrite outcome) {
        election.attemptEnded(outcome);
        if (!knownTerm.equals(term())) {
            termChanged();
            reported = false;
            term().ifPresent(t ->
                    actions.log("leader changed", Map.entry("leader", self.instance()), Map.entry("token", t.token())));
        }
    }

    private void termChanged() {
        if (!knownTerm.equals(term())) {
            knownTerm = term();
            termStartedMs = ticker.millis();
            commitDelayed = false;
            openCommit = Optional.empty();
            windows.startTerm();
        }
    }

    /** Counts a request that an endpoint began to execute; one that comes after its window was committed counts next. */
    public void executed(CustomerId customer) {
        counts.count(self, Math.max(windowOf(time.nowMs()), windows.last() + 1), customer);
    }

    /** Returns whether a report to the leader is due: each second, and after the end of each window. */
    public boolean isReportDue() {
        return holder().isPresent()
                && (!reported
                        || ticker.millis() - reportedMs >= REPORT_INTERVAL_MS
                        || windowOf(time.nowMs()) != reportedWindow
                        || time.hasJumped());
    }

    /**
     * Returns a report, which is to be sent at once. It includes what this instance, as a former leader, has learned
     * from instances that have ended since; the leader has all that it knows already.
     */
    public InstanceReport report(List<ServiceDemand> demand) {
        reported = true;
        reportedMs = ticker.millis();
        long now = time.nowMs();
        reportedWindow = windowOf(now);
        time.reported();
        List<WindowCounts> included = term().isPresent()
                ? List.of()
                : counts.from(source -> source.equals(self) || !listed.contains(source.instance()));
        return new InstanceReport(time.wallMs(), time.uptimeMs(), now, included, demand);
    }

    /** Takes a report; returns the reply, or empty if this instance is not the leader. */
    public Optional<LeaderReply> reportReceived(Incarnation source, InstanceReport report) {
        for (WindowCounts w : report.counts()) {
            if (w.window() > windows.last() && !w.source().equals(self)) {
                counts.merge(w);
            }
        }
        long now = ticker.millis();
        reporters.reported(source, report, now);
        if (term().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new LeaderReply(reporters.correctionMs(source, now), windows.last(), report.uptimeMs()));
    }

    /** Takes the leader's reply to a report. */
    public void replyReceived(LeaderReply reply) {
        time.correct(reply);
        counts.removeThrough(reply.lastCommitted());
        repliedUptimeMs = Math.max(repliedUptimeMs, reply.uptimeMs());
    }

    /** Returns whether the leader has received the last report, with all that was counted until then. */
    public boolean isReported() {
        return time.wasReported(repliedUptimeMs);
    }

    /** Records that an instance has no connection to this one any more. */
    public void disconnected(Incarnation source) {
        reporters.removed(source);
    }

    /** Records the committed counts of a window. */
    public void windowWritten(long window, Map<CustomerId, Long> committed) {
        addCommitted(window, committed);
    }

    /** Records that the key of a committed window is gone. */
    public void windowRemoved(long window) {
        windows.removed(window);
    }

    private void addCommitted(long window, Map<CustomerId, Long> committed) {
        windows.committed(window, committed);
        counts.removeThrough(windows.last());
    }

    private void commitNext() {
        long now = ticker.millis();
        if (committing || commitDelayed && now - commitFailedMs < COMMIT_RETRY_MS || !reporters.knowsTime(now)) {
            return;
        }
        long settledMs = now - termStartedMs;
        if (settledMs < MIN_SETTLE_MS) {
            return;
        }
        long trueMs = reporters.trueMs(now);
        long window = nextWindow(trueMs, now);
        long endMs = (window + 1) * settings.windowMs();
        if (trueMs < endMs + MIN_COMMIT_DELAY_MS) {
            return;
        }
        boolean overdue = trueMs >= endMs + MAX_COMMIT_DELAY_MS && settledMs >= MAX_SETTLE_MS;
        if (overdue || reporters.covers(listed, endMs)) {
            committing = true;
            for (long dropped : windows.makeRoom()) {
                actions.log("usage window given up", Map.entry("window", dropped), Map.entry("reason", "not accepted"));
            }
            // An earlier attempt may be carried out after the key of its window has been deleted again, so a retry in
            // the same term has the same counts.
            Commit commit = openCommit
                    .filter(c -> c.window == window)
                    .orElseGet(() -> new Commit(window, counts.total(window)));
            openCommit = Optional.of(commit);
            actions.commitWindow(term().orElseThrow(), window, commit.counts, windows.obsolete(window));
        }
    }

    /**
     * Returns the window to commit next. Windows that ended before the first known instance started are left out unless
     * there are counts of them; those for which no counts can be known any more are given up.
     */
    private long nextWindow(long trueMs, long now) {
        long firstStartMs = trueMs - (now - reporters.firstStartMs());
        long firstKnown = Math.min(windowOf(firstStartMs), counts.firstAfter(windows.last()));
        long next = Math.max(windows.last() + 1, firstKnown);
        long oldest = windowOf(trueMs - MAX_COUNT_AGE_MS);
        if (next >= oldest) {
            return next;
        }
        if (oldest - 1 > lastGivenUp) {
            long from = Math.max(next, lastGivenUp + 1);
            windows.countGivenUp(oldest - from);
            lastGivenUp = oldest - 1;
            actions.log(
                    "usage window given up",
                    Map.entry("window", from + "-" + (oldest - 1)),
                    Map.entry("reason", "not committed"));
        }
        return oldest;
    }

    /** Records the outcome of {@link DutyActions#commitWindow}. */
    public void windowCommitted(
            DutyTerm term, long window, Map<CustomerId, Long> committed, List<Long> deleted, StoreWrite outcome) {
        committing = false;
        if (outcome instanceof StoreWrite.Applied) {
            deleted.forEach(windows::removed);
            addCommitted(window, committed);
            commitDelayed = false;
        } else {
            commitDelayed = true;
            commitFailedMs = ticker.millis();
            String reason = outcome instanceof StoreWrite.Unknown u ? u.reason() : "conflict";
            actions.log(
                    "usage window not committed",
                    Map.entry("window", window),
                    Map.entry("token", term.token()),
                    Map.entry("reason", reason));
        }
    }

    private void sendNext() {
        Optional<Long> window = windows.next();
        if (window.isPresent() && !sendingUsage && windows.isSendDue() && beginCall()) {
            sendingUsage = true;
            actions.sendUsage(term().orElseThrow(), window.get(), windows.counts(window.get()));
        }
    }

    /** Records the result of {@link DutyActions#sendUsage}. */
    public void usageAnswered(DutyTerm term, long window, DutyResult result) {
        sendingUsage = false;
        windows.answered(window, result);
        callEnded(term, result);
        actions.log(
                result == DutyResult.ACCEPTED ? "usage reported" : "usage not reported",
                Map.entry("window", window),
                Map.entry("token", term.token()),
                Map.entry("result", result.text()));
    }

    /** Returns the latest demand of each instance. */
    public List<InstanceDemand> demands() {
        return reporters.demands(ticker.millis());
    }

    /** Returns the number of instances that the store lists or that are connected. */
    public int listedInstances() {
        return listed.size();
    }

    /** Returns the last committed window, or 0 if none is known. */
    public long lastWindow() {
        return windows.last();
    }

    /** Returns the number of committed windows that this instance, as the leader, has still to send. */
    public int pendingWindows() {
        return term().isPresent() ? windows.pending() : 0;
    }

    /** Returns the number of windows that were given up. */
    public long givenUpWindows() {
        return windows.givenUp();
    }

    private long windowOf(long trueMs) {
        return Math.floorDiv(trueMs, settings.windowMs());
    }
}
