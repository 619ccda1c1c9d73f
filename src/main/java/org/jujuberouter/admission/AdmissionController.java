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
 * Admission control for one endpoint, run by the instance that owns it.
 *
 * <p>The bound on the endpoint's load follows from its reports ({@link CapacityRamp}), and ownership determines the
 * part of it that may be used ({@link OwnershipShare}). Own permits and foreign work count against that part
 * ({@link InFlight}), which is divided between the prompt classes ({@link AdmissionRules}). A request that does not
 * fit waits in the queue of its class until a later event makes room. A permit costs a constant number of map
 * operations; only {@link #listed}, {@link #holderReport} and {@link #tick} iterate over everything in flight.
 *
 * <p>All methods may be called from any thread. After each event, {@link #takeDecisions} returns the decisions on
 * queued requests.
 */
public final class AdmissionController {
    /** How often {@link #tick} should be called. */
    public static final Duration TICK_PERIOD = Duration.ofMillis(100);

    /** How often the endpoint's report and list should be requested. */
    public static final Duration REPORT_PERIOD = Duration.ofSeconds(1);

    /** Maximum number of waiting requests; more would wait longer than any deadline in use. */
    static final int MAX_WAITING = 1_024;

    /** Age of the holder's latest request above which a grant would arrive too late to be used. */
    private static final long MAX_REQUEST_AGE_NANOS = Permit.VALIDITY.toNanos() * 4 / 5;

    private static final double SERVICE_TIME_SMOOTHING = 0.1;

    private final Ticker ticker;
    private final EndpointId endpoint;
    private final boolean listsRequests;
    private final OwnershipShare share;
    private final InFlight inFlight;
    private final CapacityRamp ramp = new CapacityRamp();
    private final Map<PromptClass, WaitQueue> queues = new EnumMap<>(PromptClass.class);
    private final Map<RequestId, WaitQueue.Waiter> waiting = new HashMap<>();
    private final List<QueuedDecision> decisions = new ArrayList<>();
    private boolean drained;
    private double meanServiceNanos;
    private long serial;

    private AdmissionController(
            Ticker ticker,
            EndpointId endpoint,
            Supplier<AdmissionAuthority> authority,
            HolderLiveness holders,
            boolean listsRequests) {
        this.ticker = ticker;
        this.endpoint = endpoint;
        this.listsRequests = listsRequests;
        this.share = new OwnershipShare(authority);
        this.inFlight = new InFlight(holders);
        for (PromptClass promptClass : PromptClass.values()) {
            queues.put(promptClass, new WaitQueue());
        }
    }

    /** Returns the controller of an engine, which reports a list of its requests. */
    public static AdmissionController ofEngine(
            Ticker ticker, EndpointId endpoint, Supplier<AdmissionAuthority> authority, HolderLiveness holders) {
        return new AdmissionController(ticker, endpoint, authority, holders, true);
    }

    /** Returns the controller of a plain service, which has no such list; its work is known only from the holders. */
    public static AdmissionController ofPlainService(
            Ticker ticker, EndpointId endpoint, Supplier<AdmissionAuthority> authority, HolderLiveness holders) {
        return new AdmissionController(ticker, endpoint, authority, holders, false);
    }

    /** Returns the endpoint. */
    public EndpointId endpoint() {
        return endpoint;
    }

    /**
     * Decides on a request, or records that the holder of a waiting one repeated it.
     *
     * <p>Repeating the request for a permit that is not known to be in use renews the permit, so that a lost reply
     * costs no capacity.
     */
    public synchronized Decision request(PermitRequest request) {
        long now = ticker.nanos();
        AdmissionAuthority.Held authority = share.refresh(now);
        Optional<Refusal> refusal = refusalOf(request, authority, now);
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
            Capacity limit = share.limit(authority, ramp.bound(now), inFlight.foreignUsage());
            if (share.settling()
                    || inFlight.ownUsage().slots() > limit.slots()
                    || inFlight.ownUsage().tokens() > limit.tokens()) {
                return new Decision.Waiting();
            }
            Permit renewed = new Permit(unused.get().request(), share.fence(), serial++, now);
            inFlight.renew(renewed);
            return new Decision.Granted(renewed);
        }
        WaitQueue.Waiter waiter = waiting.get(request.id());
        if (waiter != null) {
            waiter.lastRequestNanos = now;
            return new Decision.Waiting();
        }
        WaitQueue queue = queues.get(request.promptClass());
        if (queue.size() == 0 && fits(request.promptClass(), request.tokens(), authority, now)) {
            return new Decision.Granted(grant(request, now));
        }
        return enqueue(request, queue, authority, now);
    }

    /** Returns and removes the decisions on queued requests since the last call, to be sent to the holders. */
    public synchronized List<QueuedDecision> takeDecisions() {
        List<QueuedDecision> result = List.copyOf(decisions);
        decisions.clear();
        return result;
    }

    /** Records that a holder began to send, which makes room for further permits that are not in use yet. */
    public synchronized void started(RequestId id) {
        inFlight.started(id, ticker.nanos());
        processQueues(ticker.nanos());
    }

    /** Records that the first token of a request arrived, so that the next long prefill may begin. */
    public synchronized void prefillDone(RequestId id) {
        inFlight.prefillDone(id);
        processQueues(ticker.nanos());
    }

    /** Releases a permit; {@link PermitEnd#NOT_SENT} for an earlier grant of the same request is ignored. */
    public synchronized void release(PermitRef ref, PermitEnd end) {
        long now = ticker.nanos();
        RequestId id = ref.request();
        if (end == PermitEnd.NOT_SENT && !inFlight.unused(ref)) {
            return;
        }
        if (end == PermitEnd.FAILED) {
            ramp.invalidate(now);
        }
        boolean unconfirmed = end == PermitEnd.ABANDONED || end == PermitEnd.FAILED;
        if (unconfirmed && listsRequests && inFlight.contains(id)) {
            inFlight.endedUnconfirmed(id, now);
        } else {
            Optional<Permit> permit = inFlight.end(id, now);
            if (permit.isPresent() && end == PermitEnd.COMPLETED) {
                double serviceNanos = now - permit.get().grantedNanos();
                meanServiceNanos +=
                        (meanServiceNanos == 0 ? 1 : SERVICE_TIME_SMOOTHING) * (serviceNanos - meanServiceNanos);
            }
        }
        processQueues(now);
    }

    /** Removes a waiting request that its holder no longer needs. */
    public synchronized void withdraw(RequestId id) {
        WaitQueue.Waiter waiter = waiting.remove(id);
        if (waiter != null) {
            queues.get(waiter.request.promptClass()).removeIf(other -> other == waiter);
        }
    }

    /** Records a report of the endpoint; {@code requestedAtNanos} is the time just before it was requested. */
    public synchronized void report(EndpointReport report, long requestedAtNanos) {
        ramp.report(report, requestedAtNanos);
        processQueues(ticker.nanos());
    }

    /**
     * Reconciles with the engine's list of requests; {@code requestedAtNanos} is the time just before it was requested.
     *
     * @return the requests to cancel at the engine: those without a permit or with a dead holder for 5 s
     */
    public synchronized List<RequestId> listed(Collection<ListedRequest> listedRequests, long requestedAtNanos) {
        long now = ticker.nanos();
        if (share.refresh(now) == null) {
            return List.of();
        }
        List<RequestId> cancel = inFlight.reconcileList(
                listedRequests, requestedAtNanos, share.firstFence(), share.fence(), share.inDoubt(), now);
        if (share.listAsOf(requestedAtNanos)) {
            ramp.raiseTo(inFlight.ownUsage().slots() + inFlight.foreignUsage().slots());
        }
        processQueues(now);
        return cancel;
    }

    /**
     * Reconciles with the permits for this endpoint that a holder reported after the given time.
     *
     * <p>Unused permits that the report does not contain are dropped; requests in it that are unknown here are added.
     */
    public synchronized void holderReport(
            Incarnation holder, Collection<PermitRequest> heldRequests, long requestedAtNanos) {
        long now = ticker.nanos();
        Set<RequestId> ids = new HashSet<>();
        for (PermitRequest request : heldRequests) {
            ids.add(request.id());
            if (!inFlight.contains(request.id())) {
                inFlight.add(new Permit(request, share.fence(), serial++, requestedAtNanos));
            }
        }
        inFlight.reconcileHolder(holder, ids, requestedAtNanos, now);
        processQueues(now);
    }

    /**
     * Returns the holders to query for a {@link #holderReport}: those of permits or work from before the given time.
     */
    public synchronized Set<Incarnation> holdersBefore(long time) {
        return inFlight.holdersBefore(time);
    }

    /** Adds all permits of an owner that released the endpoint under the given fencing number. */
    public synchronized void handover(long fence, Collection<Permit> permits) {
        permits.forEach(inFlight::add);
        share.handedOver(fence);
    }

    /** Returns all permits, for the handover; to be called once grants have stopped. */
    public synchronized List<Permit> permits() {
        return List.copyOf(inFlight.permits());
    }

    /** Starts or stops a drain by operators. */
    public synchronized void drain(boolean on) {
        drained = on;
        processQueues(ticker.nanos());
    }

    /**
     * Processes timeouts: deadlines, terminated holders, and the settling of plain services after a change of owner.
     */
    public synchronized void tick() {
        long now = ticker.nanos();
        share.refresh(now);
        inFlight.dropTerminatedHolders(listsRequests, now);
        if (!listsRequests) {
            share.listAsOf(now);
        }
        if (!waiting.isEmpty()) {
            for (WaitQueue queue : queues.values()) {
                for (WaitQueue.Waiter expired : queue.removeIf(w -> now - w.request.deadlineNanos() >= 0)) {
                    decide(expired, new Decision.Refused(new Refusal.DeadlineUnreachable(0)));
                }
            }
        }
        processQueues(now);
    }

    /** Returns the state for operators. */
    public synchronized AdmissionStats stats() {
        Capacity bound = ramp.bound(ticker.nanos());
        return new AdmissionStats(
                bound,
                Capacity.of(inFlight.ownUsage().slots(), inFlight.ownUsage().tokens()),
                Capacity.of(
                        inFlight.foreignUsage().slots(), inFlight.foreignUsage().tokens()),
                waiting.size(),
                share.fence(),
                share.inDoubt());
    }

    private Optional<Refusal> refusalOf(PermitRequest request, AdmissionAuthority.Held authority, long now) {
        if (authority == null) {
            return Optional.of(notOwner());
        }
        Optional<Refusal> unavailable = unavailable(now);
        if (unavailable.isPresent()) {
            return unavailable;
        }
        if (now - request.deadlineNanos() >= 0) {
            return Optional.of(new Refusal.DeadlineUnreachable(0));
        }
        long largest = AdmissionRules.maxRequestTokens(ramp.warm());
        if (request.tokens() > largest) {
            return Optional.of(new Refusal.TooLarge(largest));
        }
        boolean alone = request.runsAlone() || request.promptClass() == PromptClass.LONG;
        if (authority.usable().applyAsLong(ramp.warm().slots()) <= 0
                || (alone && authority.uncertainPredecessors() > 0)) {
            return Optional.of(new Refusal.NoShare());
        }
        return conflict(request);
    }

    private Refusal notOwner() {
        return new Refusal.NotOwner(
                share.authority() instanceof AdmissionAuthority.None none ? none.hint() : Optional.empty());
    }

    private Optional<Refusal> unavailable(long now) {
        if (drained) {
            return Optional.of(new Refusal.Drained());
        }
        if (ramp.leaving()) {
            return Optional.of(new Refusal.Leaving());
        }
        return ramp.isOverdue(now) ? Optional.of(new Refusal.NotReporting()) : Optional.empty();
    }

    private Optional<Refusal> conflict(PermitRequest request) {
        RequestId running = inFlight.running(request.fingerprint());
        boolean resent =
                inFlight.contains(request.id()) && inFlight.unused(request.id()).isEmpty();
        if (resent || (running != null && !running.equals(request.id()))) {
            return Optional.of(new Refusal.IdenticalRunning(resent ? request.id() : running));
        }
        Optional<RequestId> marked = inFlight.marked().filter(id -> !id.equals(request.id()));
        return request.runsAlone() && marked.isPresent()
                ? Optional.of(new Refusal.MarkedRunning(marked))
                : Optional.empty();
    }

    private Decision enqueue(PermitRequest request, WaitQueue queue, AdmissionAuthority.Held authority, long now) {
        if (waiting.size() >= MAX_WAITING) {
            return new Decision.Refused(new Refusal.QueueFull());
        }
        long slots = Math.max(1, authority.usable().applyAsLong(ramp.warm().slots()));
        long ahead = 0;
        for (PromptClass promptClass : PromptClass.values()) {
            ahead += promptClass.compareTo(request.promptClass()) <= 0
                    ? queues.get(promptClass).size()
                    : 0;
        }
        long expected = (long) (meanServiceNanos * (ahead + 1) / slots);
        if (now + expected - request.deadlineNanos() >= 0) {
            return new Decision.Refused(new Refusal.DeadlineUnreachable(expected));
        }
        waiting.put(request.id(), queue.add(request, now));
        return new Decision.Waiting();
    }

    /** Returns whether a request fits now, by the current lease and reports. */
    private boolean fits(PromptClass promptClass, long tokens, AdmissionAuthority.Held authority, long now) {
        if (share.settling()) {
            return false;
        }
        if (promptClass == PromptClass.LONG && inFlight.foreignUsage().longPrefills() > 0) {
            return false;
        }
        Capacity bound = ramp.bound(now);
        Capacity unsent = Capacity.of(
                authority.unsent().applyAsLong(bound.slots()),
                authority.unsent().applyAsLong(bound.tokens()));
        if (!inFlight.fitsUnsentLimit(tokens, unsent)) {
            return false;
        }
        Capacity limit = share.limit(authority, bound, inFlight.foreignUsage());
        return AdmissionRules.fits(
                promptClass,
                tokens,
                inFlight.ownUsage(),
                limit,
                queues.get(PromptClass.MEDIUM).headTokens(),
                queues.get(PromptClass.LONG).headTokens());
    }

    private Permit grant(PermitRequest request, long now) {
        Permit permit = new Permit(request, share.fence(), serial++, now);
        inFlight.add(permit);
        return permit;
    }

    /** Grants the waiting requests that fit, class by class; no request overtakes the head of its queue. */
    private void processQueues(long now) {
        if (waiting.isEmpty()) {
            return;
        }
        AdmissionAuthority.Held authority = share.refresh(now);
        Optional<Refusal> unavailable = authority == null ? Optional.of(notOwner()) : unavailable(now);
        if (unavailable.isPresent()) {
            for (WaitQueue queue : queues.values()) {
                queue.removeIf(w -> true).forEach(w -> decide(w, new Decision.Refused(unavailable.get())));
            }
            return;
        }
        for (PromptClass promptClass : PromptClass.values()) {
            WaitQueue queue = queues.get(promptClass);
            while (queue.head() != null && decideHeadOf(queue, authority, now)) {
                // Each iteration removes the head.
            }
        }
    }

    private boolean decideHeadOf(WaitQueue queue, AdmissionAuthority.Held authority, long now) {
        WaitQueue.Waiter head = queue.head();
        if (now - head.lastRequestNanos > MAX_REQUEST_AGE_NANOS) {
            // The holder repeats its request if it still needs the permit, and is then queued again by its deadline.
            queue.removeHead(false);
            waiting.remove(head.request.id());
            return true;
        }
        Optional<Refusal> refusal = refusalOf(head.request, authority, now);
        if (refusal.isEmpty() && !fits(head.request.promptClass(), head.request.tokens(), authority, now)) {
            return false;
        }
        queue.removeHead(refusal.isEmpty());
        decide(
                head,
                refusal.<Decision>map(Decision.Refused::new)
                        .orElseGet(() -> new Decision.Granted(grant(head.request, now))));
        return true;
    }

    private void decide(WaitQueue.Waiter waiter, Decision decision) {
        waiting.remove(waiter.request.id());
        decisions.add(new QueuedDecision(waiter.request, decision));
    }
}
