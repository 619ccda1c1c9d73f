package org.jujuberouter.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Ticker;

/**
 * What one endpoint holds and who waits for it, kept by its owner.
 *
 * <p>The bound follows from the endpoint's reports ({@link Ramp}); ownership says which part of it may be used
 * ({@link Share}); own permits and foreign work count against that part ({@link InFlight}); the lanes divide it
 * ({@link LaneRules}). A request that does not fit waits in its lane and is granted by a later event. One permit costs a
 * few map operations, whatever is in flight; only the list, the reports of holders and the tick look at everything.
 *
 * <p>All methods may be called from any thread. After each event, {@link #takeDecisions} returns what became of requests that
 * waited.
 */
public final class AdmissionController {
    /** How often {@link #tick} should be called. */
    public static final Duration TICK_PERIOD = Duration.ofMillis(100);

    /** How often the endpoint's report and list should be asked for. */
    public static final Duration REPORT_PERIOD = Duration.ofSeconds(1);

    /** Requests that may wait for one endpoint; more would wait longer than any deadline in use. */
    static final int QUEUE_LIMIT = 1_024;

    /** Age of the holder's latest ask above which a grant would reach it too late to be used. */
    private static final long STALE_NANOS = Permit.VALIDITY.toNanos() * 4 / 5;

    private static final double SMOOTHING = 0.1;

    private final Ticker ticker;
    private final EndpointId endpoint;
    private final boolean listed;
    private final Share share;
    private final InFlight inFlight;
    private final Ramp ramp = new Ramp();
    private final Map<PromptClass, WaitQueue> queues = new EnumMap<>(PromptClass.class);
    private final Map<RequestId, WaitQueue.Waiter> waiting = new HashMap<>();
    private final List<QueuedDecision> answers = new ArrayList<>();
    private boolean drained;
    private double serviceNanos;
    private long serial;

    private AdmissionController(
            Ticker ticker,
            EndpointId endpoint,
            Supplier<AdmissionAuthority> mandate,
            HolderLiveness holders,
            boolean listed) {
        this.ticker = ticker;
        this.endpoint = endpoint;
        this.listed = listed;
        this.share = new Share(mandate);
        this.inFlight = new InFlight(holders);
        for (PromptClass promptClass : PromptClass.values()) {
            queues.put(promptClass, new WaitQueue());
        }
    }

    /** Returns the controller of an engine, which lists its requests. */
    public static AdmissionController ofEngine(
            Ticker ticker, EndpointId endpoint, Supplier<AdmissionAuthority> mandate, HolderLiveness holders) {
        return new AdmissionController(ticker, endpoint, mandate, holders, true);
    }

    /** Returns the controller of a plain service, which has no list; its work is known from the holders alone. */
    public static AdmissionController ofPlainService(
            Ticker ticker, EndpointId endpoint, Supplier<AdmissionAuthority> mandate, HolderLiveness holders) {
        return new AdmissionController(ticker, endpoint, mandate, holders, false);
    }

    /** Returns the endpoint. */
    public EndpointId endpoint() {
        return endpoint;
    }

    /**
     * Decides on a request, or notes that a waiting one is still wanted.
     *
     * <p>Asking again for a permit that is not known to be used returns it again, so a lost reply costs nothing.
     */
    public synchronized Decision request(PermitRequest request) {
        long now = ticker.nanos();
        AdmissionAuthority.Held mandate = share.refresh(now);
        Optional<Refusal> refusal = refuse(request, mandate, now);
        if (refusal.isPresent()) {
            waiting.computeIfPresent(request.id(), (id, w) -> {
                queues.get(request.promptClass()).removeIf(other -> other == w);
                return null;
            });
            return new Decision.Refused(refusal.get());
        }
        Optional<Permit> unused = inFlight.unused(request.id());
        if (unused.isPresent()) {
            // The bound may have fallen since the first grant, and an expired permit must not be revived beyond it.
            Capacity limit = share.limit(mandate, ramp.bound(now), inFlight.others());
            if (share.settling()
                    || inFlight.own().slots() > limit.slots()
                    || inFlight.own().tokens() > limit.tokens()) {
                return new Decision.Waiting();
            }
            Permit again = new Permit(unused.get().request(), share.fence(), serial++, now);
            inFlight.renew(again);
            return new Decision.Granted(again);
        }
        WaitQueue.Waiter waiter = waiting.get(request.id());
        if (waiter != null) {
            waiter.askedAt = now;
            return new Decision.Waiting();
        }
        WaitQueue queue = queues.get(request.promptClass());
        if (queue.size() == 0 && fits(request.promptClass(), request.tokens(), mandate, now)) {
            return new Decision.Granted(grant(request, now));
        }
        return enqueue(request, queue, mandate, now);
    }

    /** Returns and forgets the decisions on waiting requests since the last call; they go to the holders. */
    public synchronized List<QueuedDecision> takeDecisions() {
        List<QueuedDecision> result = List.copyOf(answers);
        answers.clear();
        return result;
    }

    /** Notes that a holder began to send, which makes room for further permits that are not sent yet. */
    public synchronized void started(RequestId id) {
        inFlight.started(id, ticker.nanos());
        pump(ticker.nanos());
    }

    /** Notes that the first token of a request arrived, which lets the next long prefill begin. */
    public synchronized void prefillDone(RequestId id) {
        inFlight.prefillDone(id);
        pump(ticker.nanos());
    }

    /** Takes back a permit; news about an earlier grant of the same request is ignored if nothing was sent under it. */
    public synchronized void release(PermitRef ref, PermitEnd how) {
        long now = ticker.nanos();
        RequestId id = ref.request();
        if (how == PermitEnd.NOT_SENT && !inFlight.unused(ref)) {
            return;
        }
        if (how == PermitEnd.FAILED) {
            ramp.distrust(now);
        }
        boolean inDoubt = how == PermitEnd.ABANDONED || how == PermitEnd.FAILED;
        if (inDoubt && listed && inFlight.holds(id)) {
            inFlight.endedInDoubt(id, now);
        } else {
            Optional<Permit> permit = inFlight.end(id, now);
            if (permit.isPresent() && how == PermitEnd.COMPLETED) {
                double took = now - permit.get().grantedNanos();
                serviceNanos += (serviceNanos == 0 ? 1 : SMOOTHING) * (took - serviceNanos);
            }
        }
        pump(now);
    }

    /** Removes a request that its holder no longer wants. */
    public synchronized void withdraw(RequestId id) {
        WaitQueue.Waiter waiter = waiting.remove(id);
        if (waiter != null) {
            queues.get(waiter.request.promptClass()).removeIf(other -> other == waiter);
        }
    }

    /** Takes in the endpoint's own report; {@code asked} is the time just before it was requested. */
    public synchronized void report(EndpointReport report, long asked) {
        ramp.report(report, asked);
        pump(ticker.nanos());
    }

    /**
     * Takes in the engine's own list of requests; {@code asked} is the time just before it was requested.
     *
     * @return the requests to cancel at the engine now: without a permit or with a dead holder for 5 s
     */
    public synchronized List<RequestId> listed(Collection<ListedRequest> rows, long asked) {
        long now = ticker.nanos();
        if (share.refresh(now) == null) {
            return List.of();
        }
        List<RequestId> cancel = inFlight.listed(rows, asked, share.firstFence(), share.fence(), share.inDoubt(), now);
        if (share.pictureAsOf(asked)) {
            ramp.heldAlready(inFlight.own().slots() + inFlight.others().slots());
        }
        pump(now);
        return cancel;
    }

    /**
     * Takes in which permits for this endpoint a holder has, as it said after the given time.
     *
     * <p>Unused permits that it does not name are free; requests that it names and that are unknown here are taken over.
     */
    public synchronized void holderReport(Incarnation holder, Collection<PermitRequest> held, long asked) {
        long now = ticker.nanos();
        Set<RequestId> ids = new HashSet<>();
        for (PermitRequest request : held) {
            ids.add(request.id());
            if (!inFlight.holds(request.id())) {
                inFlight.add(new Permit(request, share.fence(), serial++, asked));
            }
        }
        inFlight.onlyHeldBy(holder, ids, asked, now);
        pump(now);
    }

    /** Returns the holders to ask which work they still have; see {@link #holderReport}. */
    public synchronized Set<Incarnation> holdersBefore(long time) {
        return inFlight.holdersBefore(time);
    }

    /** Takes over all permits of an owner that released the endpoint under the given fencing number. */
    public synchronized void handover(long fence, Collection<Permit> permits) {
        permits.forEach(inFlight::add);
        share.handedOver(fence);
    }

    /** Returns all permits, for the handover message; to be called once grants have stopped. */
    public synchronized List<Permit> permits() {
        return List.copyOf(inFlight.permits());
    }

    /** Begins or ends a drain by operators. */
    public synchronized void drain(boolean on) {
        drained = on;
        pump(ticker.nanos());
    }

    /** Lets time take effect: deadlines, holders that are gone, plain services that settle. */
    public synchronized void tick() {
        long now = ticker.nanos();
        share.refresh(now);
        inFlight.dropGone(listed, now);
        if (!listed) {
            share.pictureAsOf(now);
        }
        if (!waiting.isEmpty()) {
            for (WaitQueue queue : queues.values()) {
                for (WaitQueue.Waiter late : queue.removeIf(w -> now - w.request.deadlineNanos() >= 0)) {
                    answer(late, new Decision.Refused(new Refusal.DeadlineUnreachable(0)));
                }
            }
        }
        pump(now);
    }

    /** Returns the figures for operators. */
    public synchronized AdmissionStats stats() {
        Capacity bound = ramp.bound(ticker.nanos());
        return new AdmissionStats(
                bound,
                Capacity.of(inFlight.own().slots(), inFlight.own().tokens()),
                Capacity.of(inFlight.others().slots(), inFlight.others().tokens()),
                waiting.size(),
                share.fence(),
                share.inDoubt());
    }

    private Optional<Refusal> refuse(PermitRequest request, AdmissionAuthority.Held mandate, long now) {
        if (mandate == null) {
            return Optional.of(notOwner());
        }
        Optional<Refusal> closed = closed(now);
        if (closed.isPresent()) {
            return closed;
        }
        if (now - request.deadlineNanos() >= 0) {
            return Optional.of(new Refusal.DeadlineUnreachable(0));
        }
        long largest = LaneRules.largest(ramp.warm());
        if (request.tokens() > largest) {
            return Optional.of(new Refusal.TooLarge(largest));
        }
        boolean alone = request.runsAlone() || request.promptClass() == PromptClass.LONG;
        if (mandate.usable().applyAsLong(ramp.warm().slots()) <= 0 || (alone && mandate.doubts() > 0)) {
            return Optional.of(new Refusal.NoShare());
        }
        return conflict(request);
    }

    private Refusal notOwner() {
        return new Refusal.NotOwner(
                share.mandate() instanceof AdmissionAuthority.None none ? none.hint() : Optional.empty());
    }

    private Optional<Refusal> closed(long now) {
        if (drained) {
            return Optional.of(new Refusal.Drained());
        }
        if (ramp.leaving()) {
            return Optional.of(new Refusal.Leaving());
        }
        return ramp.lost(now) ? Optional.of(new Refusal.NotReporting()) : Optional.empty();
    }

    private Optional<Refusal> conflict(PermitRequest request) {
        RequestId running = inFlight.running(request.fingerprint());
        boolean resent =
                inFlight.holds(request.id()) && inFlight.unused(request.id()).isEmpty();
        if (resent || (running != null && !running.equals(request.id()))) {
            return Optional.of(new Refusal.IdenticalRunning(resent ? request.id() : running));
        }
        Optional<RequestId> marked = inFlight.marked().filter(id -> !id.equals(request.id()));
        return request.runsAlone() && marked.isPresent()
                ? Optional.of(new Refusal.MarkedRunning(marked))
                : Optional.empty();
    }

    private Decision enqueue(PermitRequest request, WaitQueue queue, AdmissionAuthority.Held mandate, long now) {
        if (waiting.size() >= QUEUE_LIMIT) {
            return new Decision.Refused(new Refusal.QueueFull());
        }
        long slots = Math.max(1, mandate.usable().applyAsLong(ramp.warm().slots()));
        long ahead = 0;
        for (PromptClass promptClass : PromptClass.values()) {
            ahead += promptClass.compareTo(request.promptClass()) <= 0
                    ? queues.get(promptClass).size()
                    : 0;
        }
        long expected = (long) (serviceNanos * (ahead + 1) / slots);
        if (now + expected - request.deadlineNanos() >= 0) {
            return new Decision.Refused(new Refusal.DeadlineUnreachable(expected));
        }
        waiting.put(request.id(), queue.add(request, now));
        return new Decision.Waiting();
    }

    /** Tells whether a request fits now; the lease and the reports are looked at anew each time. */
    private boolean fits(PromptClass promptClass, long tokens, AdmissionAuthority.Held mandate, long now) {
        if (share.settling()) {
            return false;
        }
        if (promptClass == PromptClass.LONG && inFlight.others().longPrefills() > 0) {
            return false;
        }
        Capacity bound = ramp.bound(now);
        Capacity unsent = Capacity.of(
                mandate.unsent().applyAsLong(bound.slots()), mandate.unsent().applyAsLong(bound.tokens()));
        if (!inFlight.maySendLate(tokens, unsent)) {
            return false;
        }
        Capacity limit = share.limit(mandate, bound, inFlight.others());
        return LaneRules.fits(
                promptClass,
                tokens,
                inFlight.own(),
                limit,
                queues.get(PromptClass.MEDIUM).headTokens(),
                queues.get(PromptClass.LONG).headTokens());
    }

    private Permit grant(PermitRequest request, long now) {
        Permit permit = new Permit(request, share.fence(), serial++, now);
        inFlight.add(permit);
        return permit;
    }

    /** Grants what fits, lane by lane; the head of a lane is never passed by others of its lane. */
    private void pump(long now) {
        if (waiting.isEmpty()) {
            return;
        }
        AdmissionAuthority.Held mandate = share.refresh(now);
        Optional<Refusal> closed = mandate == null ? Optional.of(notOwner()) : closed(now);
        if (closed.isPresent()) {
            for (WaitQueue queue : queues.values()) {
                queue.removeIf(w -> true).forEach(w -> answer(w, new Decision.Refused(closed.get())));
            }
            return;
        }
        for (PromptClass promptClass : PromptClass.values()) {
            WaitQueue queue = queues.get(promptClass);
            while (queue.head() != null && decideHead(queue, mandate, now)) {
                // Each round removes the head.
            }
        }
    }

    private boolean decideHead(WaitQueue queue, AdmissionAuthority.Held mandate, long now) {
        WaitQueue.Waiter head = queue.head();
        if (now - head.askedAt > STALE_NANOS) {
            // The holder asks again if it still wants the permit, and then gets its place by deadline.
            queue.removeHead(false);
            waiting.remove(head.request.id());
            return true;
        }
        Optional<Refusal> refusal = refuse(head.request, mandate, now);
        if (refusal.isEmpty() && !fits(head.request.promptClass(), head.request.tokens(), mandate, now)) {
            return false;
        }
        queue.removeHead(refusal.isEmpty());
        answer(
                head,
                refusal.<Decision>map(Decision.Refused::new)
                        .orElseGet(() -> new Decision.Granted(grant(head.request, now))));
        return true;
    }

    private void answer(WaitQueue.Waiter waiter, Decision decision) {
        waiting.remove(waiter.request.id());
        answers.add(new QueuedDecision(waiter.request, decision));
    }
}
