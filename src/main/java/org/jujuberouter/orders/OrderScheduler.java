package org.jujuberouter.orders;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.WriteOutcome;

/**
 * Schedules the orders to the engines that this instance owns.
 *
 * <p>Each load is first recorded in the store under {@code orders/loads}, where compare-and-swap enforces the limits
 * over all instances. Then the endpoint is drained, a slot of the {@link LoadRateLimiter} is acquired, which limits the
 * load on the weights store, and the order is sent once. The next step depends on the reports of the engine, not on the
 * reply: the order is repeated only if a report requested later shows neither the target model nor a load in progress.
 * The record is removed when the engine has been warm with the new model for {@link LoadProgress#SETTLE_TIME}.
 *
 * <p>A new owner inherits the record and completes that load before any other. A late duplicate of the order therefore
 * requests the same load, and an engine that ignores fencing numbers never receives conflicting orders from two owners.
 *
 * <p>Thread-safe. This class sends nothing itself: {@link #tick} returns the orders, {@link #maySend} must be called
 * before the first byte of an order is sent, and {@link #onResult} receives the result.
 */
public final class OrderScheduler {
    /** Period at which {@link #tick} should be called. */
    public static final Duration TICK_PERIOD = Duration.ofMillis(250);

    /**
     * Number of orders without effect after which a load is abandoned, so that a broken engine does not block others.
     *
     * <p>With 5, four lost requests and one restart suspended a healthy engine (seed 16 of
     * {@code OrderSchedulerTest}).
     */
    static final int MAX_ATTEMPTS = 10;

    /** Time for which no load is started at an engine after one was abandoned. */
    static final Duration FAILURE_BACKOFF = Duration.ofMinutes(10);

    /** Maximum age of a report that is considered: three report periods. */
    static final Duration MAX_REPORT_AGE = Duration.ofSeconds(3);

    private static final long RETRY_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Logger LOG = System.getLogger(OrderScheduler.class.getName());

    private final Ticker ticker;
    private final PlatformStore store;
    private final OrderAuthority authority;
    private final LoadRateLimiter rateLimiter;
    private final PendingLoads.Cache cache = new PendingLoads.Cache();
    private final Map<EndpointId, LoadProgress> progress = new HashMap<>();
    private final Map<EndpointId, Long> suspendedUntil = new HashMap<>();
    private final Set<EndpointId> uncheckedEndpoints = new HashSet<>();
    private volatile Set<EndpointId> draining = Set.of();
    private long nextStoreAccessAt;

    private OrderScheduler(Ticker ticker, PlatformStore store, OrderAuthority authority) {
        this.ticker = ticker;
        this.store = store;
        this.authority = authority;
        this.rateLimiter = new LoadRateLimiter(store);
        this.nextStoreAccessAt = ticker.nanos();
    }

    /** Returns a scheduler without pending orders. */
    public static OrderScheduler of(Ticker ticker, PlatformStore store, OrderAuthority authority) {
        return new OrderScheduler(ticker, store, authority);
    }

    /** Returns the owned endpoints that must receive no new requests because they are loading or are about to load. */
    public Set<EndpointId> draining() {
        return draining;
    }

    /**
     * Executes the steps that are due.
     *
     * @param plan the target configuration of each engine
     * @param limits the operators' limits for loads
     * @param engines all listed engines; for the owned ones with reports to this instance itself
     * @return the orders to send immediately
     */
    public synchronized List<Order> tick(PlacementPlan plan, LoadLimits limits, Map<EndpointId, EngineView> engines) {
        long now = ticker.nanos();
        List<EndpointId> owned = updateOwned(engines, now);
        List<Order> orders = new ArrayList<>();
        for (EndpointId e : owned) {
            addRoleOrder(e, plan.targets().get(e), engines.get(e), now, orders);
        }
        if (now - nextStoreAccessAt >= 0 && needsStoreAccess(owned, plan, engines)) {
            nextStoreAccessAt = now + RETRY_NANOS;
            try {
                cache.update(store.read(PendingLoads.KEY));
                uncheckedEndpoints.clear();
                removeOrphanedLoads(plan, engines);
                for (EndpointId e : owned) {
                    step(e, plan, limits, engines, orders);
                }
            } catch (PlatformException e) {
                LOG.log(Level.DEBUG, "[orders] platform store unavailable: {0}", e.getMessage());
            }
        }
        updateDraining(owned, engines);
        return orders;
    }

    /** Returns whether an order may still be sent; to be called immediately before the first byte. */
    public boolean maySend(Order order) {
        OptionalLong fence = authority.exclusiveFence(order.endpoint());
        return fence.isPresent() && fence.getAsLong() == order.fence() && ticker.nanos() - order.sendBeforeNanos() < 0;
    }

    /** Applies the result of sending an order. */
    public synchronized void onResult(Order order, OrderResult result) {
        LoadProgress p = progress.get(order.endpoint());
        if (p == null || p.fence != order.fence() || order.kind() == Order.Kind.CHANGE_ROLE) {
            return;
        }
        if (result == OrderResult.ACCEPTED) {
            p.accepted = true;
        } else if (result == OrderResult.STALE) {
            p.fencedOff = true;
            LOG.log(
                    Level.WARNING,
                    "[orders] engine {0} rejected an order because it has seen a higher fencing number",
                    order.endpoint());
        } else {
            // An order that was not sent does not count as an attempt.
            p.attempts -= result == OrderResult.NOT_SENT ? 1 : 0;
            LOG.log(Level.DEBUG, "[orders] order to engine {0} not acknowledged: {1}", order.endpoint(), result);
        }
    }

    private List<EndpointId> updateOwned(Map<EndpointId, EngineView> engines, long now) {
        List<EndpointId> owned = new ArrayList<>();
        for (EndpointId e : engines.keySet()) {
            OptionalLong fence = authority.exclusiveFence(e);
            LoadProgress p = progress.get(e);
            if (fence.isEmpty()) {
                progress.remove(e);
                continue;
            }
            owned.add(e);
            if (p == null || p.fence != fence.getAsLong()) {
                progress.put(e, new LoadProgress(fence.getAsLong(), now));
                uncheckedEndpoints.add(e);
            }
        }
        progress.keySet().retainAll(engines.keySet());
        owned.sort(Comparator.comparing(EndpointId::value));
        return owned;
    }

    /** A new owner reads the store once for loads of its predecessor; later, only while a load is due or pending. */
    private boolean needsStoreAccess(List<EndpointId> owned, PlacementPlan plan, Map<EndpointId, EngineView> engines) {
        for (EndpointId e : owned) {
            EngineConfig target = plan.targets().get(e);
            boolean differs = target != null
                    && !target.spec().equals(engines.get(e).reported().spec());
            if (differs || uncheckedEndpoints.contains(e) || cache.pending.get(e) != null) {
                return true;
            }
        }
        return false;
    }

    private void updateDraining(List<EndpointId> owned, Map<EndpointId, EngineView> engines) {
        Set<EndpointId> next = new HashSet<>();
        for (EndpointId e : owned) {
            PendingLoads.Load load = cache.pending.get(e);
            // Once it reports the target model, the engine receives requests again, up to the bound of its ramp-up.
            if (load != null
                    && !load.target().spec().equals(engines.get(e).reported().spec())) {
                next.add(e);
            }
        }
        draining = Set.copyOf(next);
    }

    /** A role change requires neither weights nor a drain; it is repeated until a later report shows the new role. */
    private void addRoleOrder(EndpointId e, EngineConfig target, EngineView view, long now, List<Order> orders) {
        LoadProgress p = progress.get(e);
        if (target == null || p.fencedOff || now - view.requestedNanos() > MAX_REPORT_AGE.toNanos() || view.busy()) {
            return;
        }
        boolean roleDiffers =
                view.reported().spec().equals(target.spec()) && view.reported().role() != target.role();
        long since = p.roleSent ? p.roleSentAt : p.startedAt;
        if (roleDiffers && view.requestedNanos() - since >= LoadProgress.EFFECT_TIMEOUT.toNanos()) {
            p.roleSent = true;
            p.roleSentAt = now;
            orders.add(
                    new Order(e, Order.Kind.CHANGE_ROLE, target, p.fence, now + LoadRateLimiter.SEND_WINDOW.toNanos()));
        }
    }

    /** Removes loads of engines that are neither planned nor listed; a plan keeps a missing engine for some time. */
    private void removeOrphanedLoads(PlacementPlan plan, Map<EndpointId, EngineView> engines) throws PlatformException {
        for (String name : cache.pending.loads().keySet()) {
            EndpointId e = EndpointId.of(name);
            if (!plan.targets().containsKey(e) && !engines.containsKey(e)) {
                write(cache.pending.without(e));
            }
        }
    }

    private void step(
            EndpointId e,
            PlacementPlan plan,
            LoadLimits limits,
            Map<EndpointId, EngineView> engines,
            List<Order> orders)
            throws PlatformException {
        long now = ticker.nanos();
        EngineView view = engines.get(e);
        LoadProgress p = progress.get(e);
        if (now - view.requestedNanos() > MAX_REPORT_AGE.toNanos()) {
            return;
        }
        PendingLoads.Load load = cache.pending.get(e);
        p.tracked &= load != null;
        if (load != null) {
            if (!p.tracked) {
                progress.put(e, LoadProgress.forInheritedLoad(p, now));
            }
            advanceLoad(e, load, view, limits, orders);
            return;
        }
        EngineConfig target = plan.targets().get(e);
        boolean differs =
                target != null && !target.spec().equals(view.reported().spec());
        boolean suspended = suspendedUntil.containsKey(e) && now - suspendedUntil.get(e) < 0;
        if (differs && !suspended && !p.fencedOff && !view.busy() && withinLimits(e, view, target, limits, engines)) {
            LOG.log(Level.INFO, "[orders] draining engine {0} to load {1}", e, target.spec());
            String from = view.reported().spec().model();
            if (write(cache.pending.with(e, new PendingLoads.Load(from, target)))) {
                progress.put(e, LoadProgress.forNewLoad(p, now));
            }
        }
    }

    private boolean withinLimits(
            EndpointId candidate,
            EngineView view,
            EngineConfig target,
            LoadLimits limits,
            Map<EndpointId, EngineView> engines) {
        if (cache.pending.loads().size() >= limits.loadsAtOnce()) {
            return false;
        }
        String model = view.reported().spec().model();
        if (!view.inService()) {
            return true;
        }
        int all = 0;
        Set<String> outOfService = new HashSet<>();
        for (Map.Entry<EndpointId, EngineView> e : engines.entrySet()) {
            EngineView other = e.getValue();
            if (!other.service().equals(view.service())) {
                continue;
            }
            PendingLoads.Load load = cache.pending.get(e.getKey());
            boolean fresh = ticker.nanos() - other.requestedNanos() <= MAX_REPORT_AGE.toNanos();
            boolean servesModel = other.reported().spec().model().equals(model);
            if (load != null && load.previousModel().equals(model)
                    || servesModel && (load != null || !other.inService())) {
                outOfService.add(e.getKey().value());
            }
            // An engine without a recent report may have changed its model, so it does not raise the limit.
            all += servesModel && fresh ? 1 : 0;
        }
        outOfService.add(candidate.value());
        return outOfService.size() <= limits.maxOutOfService(all);
    }

    private void advanceLoad(
            EndpointId e, PendingLoads.Load load, EngineView view, LoadLimits limits, List<Order> orders)
            throws PlatformException {
        long now = ticker.nanos();
        LoadProgress p = progress.get(e);
        if (view.reported().spec().equals(load.target().spec())) {
            completeLoad(e, p, view, now);
            return;
        }
        p.loaded = false;
        if (view.busy() || !view.idle() || !p.isOrderDue(view.requestedNanos(), view.boot())) {
            return;
        }
        if (p.attempts >= MAX_ATTEMPTS) {
            LOG.log(Level.WARNING, "[orders] engine {0} did not load {1}; suspending loads to it", e, load.target());
            suspendedUntil.put(e, now + FAILURE_BACKOFF.toNanos());
            write(cache.pending.without(e));
            return;
        }
        if (rateLimiter.tryAcquire(limits.loadsPerMinute())) {
            p.orderSent(ticker.nanos(), view.boot());
            ModelSpec from = view.reported().spec();
            ModelSpec to = load.target().spec();
            boolean sameModel =
                    from.model().equals(to.model()) && from.version().equals(to.version());
            Order.Kind kind = sameModel ? Order.Kind.LOAD_ADAPTER : Order.Kind.LOAD_MODEL;
            orders.add(new Order(e, kind, load.target(), p.fence, now + LoadRateLimiter.SEND_WINDOW.toNanos()));
        }
    }

    private void completeLoad(EndpointId e, LoadProgress p, EngineView view, long now) throws PlatformException {
        if (view.busy() || !p.loaded) {
            p.loaded = true;
            p.warmSince = now;
        } else if (now - p.warmSince >= LoadProgress.SETTLE_TIME.toNanos()) {
            LOG.log(
                    Level.INFO,
                    "[orders] engine {0} has loaded {1}",
                    e,
                    view.reported().spec());
            write(cache.pending.without(e));
        }
    }

    /** Writes the loads and returns whether that succeeded; after an unknown outcome, a later tick reads them back. */
    private boolean write(PendingLoads next) throws PlatformException {
        return switch (store.compareAndSet(PendingLoads.KEY, cache.revision, next.encode(), null)) {
            case WriteOutcome.Done done -> {
                cache.pending = next;
                cache.revision = done.revision();
                yield true;
            }
            case WriteOutcome.Conflict conflict -> {
                cache.update(conflict.current());
                yield false;
            }
            case WriteOutcome.Unknown unknown -> throw unknown.cause();
        };
    }
}
