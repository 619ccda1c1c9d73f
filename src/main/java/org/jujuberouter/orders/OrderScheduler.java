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
 * Gives the orders for the engines that this instance owns.
 *
 * <p>Each load first stands in the store under {@code orders/loads}, where compare-and-swap keeps the bounds over all
 * instances. Then the endpoint is drained, a slot of the weights store's rate is taken, and the order is sent once. The
 * engine's own report, not the reply, decides what comes next: it is repeated only when a report asked for later shows
 * neither the wanted content nor a load under way. The entry goes when the engine has been warm with it for a while. A
 * successor inherits the entry and finishes that load before any other, so a late copy of the order asks for the same thing
 * and an engine that ignores fencing numbers is never sent contradicting orders by two owners.
 *
 * <p>Thread-safe. It sends nothing itself: {@link #tick} returns orders, {@link #maySend} is asked before the first byte, and
 * {@link #answered} takes the result.
 */
public final class OrderScheduler {
    /** How often {@link #tick} should be called. */
    public static final Duration TICK_PERIOD = Duration.ofMillis(250);

    /**
     * Orders without effect after which a load is given up, so that a broken engine does not hold up the others.
     *
     * <p>With 5, four lost requests and one restart made a sound engine be left alone (seed 16 of {@code OrderSchedulerTest}).
     */
    static final int MAX_ATTEMPTS = 10;

    /** How long an engine is left alone after a load was given up. */
    static final Duration HOLD = Duration.ofMinutes(10);

    /** Age at which a view no longer counts: three report periods. */
    static final Duration FRESH = Duration.ofSeconds(3);

    private static final long RETRY_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Logger LOG = System.getLogger(OrderScheduler.class.getName());

    private final Ticker ticker;
    private final PlatformStore store;
    private final OrderAuthority authority;
    private final LoadRateLimiter rate;
    private final PendingLoads.Copy copy = new PendingLoads.Copy();
    private final Map<EndpointId, LoadProgress> progress = new HashMap<>();
    private final Map<EndpointId, Long> heldUntil = new HashMap<>();
    private final Set<EndpointId> unseen = new HashSet<>();
    private volatile Set<EndpointId> draining = Set.of();
    private long storeAt;

    private OrderScheduler(Ticker ticker, PlatformStore store, OrderAuthority authority) {
        this.ticker = ticker;
        this.store = store;
        this.authority = authority;
        this.rate = new LoadRateLimiter(store);
        this.storeAt = ticker.nanos();
    }

    /** Returns a desk that has ordered nothing. */
    public static OrderScheduler of(Ticker ticker, PlatformStore store, OrderAuthority authority) {
        return new OrderScheduler(ticker, store, authority);
    }

    /** Returns the endpoints owned here that must get no new work, because they are about to load or are loading. */
    public Set<EndpointId> draining() {
        return draining;
    }

    /**
     * Takes the steps that are due.
     *
     * @param plan what each engine should be
     * @param rules the operators' bounds
     * @param engines all listed engines; those owned here with this instance's own reports
     * @return the orders to send at once
     */
    public synchronized List<Order> tick(PlacementPlan plan, LoadLimits rules, Map<EndpointId, EngineView> engines) {
        long now = ticker.nanos();
        List<EndpointId> owned = noteOwned(engines, now);
        List<Order> orders = new ArrayList<>();
        for (EndpointId e : owned) {
            roleOrder(e, plan.targets().get(e), engines.get(e), now, orders);
        }
        if (now - storeAt >= 0 && needsStore(owned, plan, engines)) {
            storeAt = now + RETRY_NANOS;
            try {
                copy.saw(store.read(PendingLoads.KEY));
                unseen.clear();
                dropOrphans(plan, engines);
                for (EndpointId e : owned) {
                    step(e, plan, rules, engines, orders);
                }
            } catch (PlatformException e) {
                LOG.log(Level.DEBUG, "[orders] The store did not answer: {0}", e.getMessage());
            }
        }
        noteDraining(owned, engines);
        return orders;
    }

    /** Tells whether an order may still be sent; to be asked right before the first byte. */
    public boolean maySend(Order order) {
        OptionalLong fence = authority.exclusiveFence(order.endpoint());
        return fence.isPresent() && fence.getAsLong() == order.fence() && ticker.nanos() - order.sendBeforeNanos() < 0;
    }

    /** Takes in how the sending of an order ended. */
    public synchronized void answered(Order order, OrderResult answer) {
        LoadProgress p = progress.get(order.endpoint());
        if (p == null || p.fence != order.fence() || order.kind() == Order.Kind.CHANGE_ROLE) {
            return;
        }
        if (answer == OrderResult.ACCEPTED) {
            p.accepted = true;
        } else if (answer == OrderResult.STALE) {
            p.blocked = true;
            LOG.log(Level.WARNING, "[orders] {0} has a higher fencing number.", order.endpoint());
        } else {
            // An order that never left says nothing about the engine.
            p.attempts -= answer == OrderResult.NOT_SENT ? 1 : 0;
            LOG.log(Level.DEBUG, "[orders] No answer of {0}: {1}", order.endpoint(), answer);
        }
    }

    private List<EndpointId> noteOwned(Map<EndpointId, EngineView> engines, long now) {
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
                unseen.add(e);
            }
        }
        progress.keySet().retainAll(engines.keySet());
        owned.sort(Comparator.comparing(EndpointId::value));
        return owned;
    }

    /** A new owner looks once for loads that its predecessor left; besides that the store is read only while there is work. */
    private boolean needsStore(List<EndpointId> owned, PlacementPlan plan, Map<EndpointId, EngineView> engines) {
        for (EndpointId e : owned) {
            EngineConfig target = plan.targets().get(e);
            boolean differs = target != null
                    && !target.content().equals(engines.get(e).reported().content());
            if (differs || unseen.contains(e) || copy.loads.of(e) != null) {
                return true;
            }
        }
        return false;
    }

    private void noteDraining(List<EndpointId> owned, Map<EndpointId, EngineView> engines) {
        Set<EndpointId> next = new HashSet<>();
        for (EndpointId e : owned) {
            PendingLoads.Load load = copy.loads.of(e);
            // With the wanted content it takes work again, up to the bound of the cold ramp.
            if (load != null
                    && !load.to().content().equals(engines.get(e).reported().content())) {
                next.add(e);
            }
        }
        draining = Set.copyOf(next);
    }

    /** A change of role needs no weights and no drain; it is repeated while a later report does not show it. */
    private void roleOrder(EndpointId e, EngineConfig target, EngineView view, long now, List<Order> orders) {
        LoadProgress p = progress.get(e);
        if (target == null || p.blocked || now - view.askedNanos() > FRESH.toNanos() || view.busy()) {
            return;
        }
        boolean wrong = view.reported().content().equals(target.content())
                && view.reported().role() != target.role();
        long since = p.roleSent ? p.roleSentAt : p.since;
        if (wrong && view.askedNanos() - since >= LoadProgress.QUIET.toNanos()) {
            p.roleSent = true;
            p.roleSentAt = now;
            orders.add(
                    new Order(e, Order.Kind.CHANGE_ROLE, target, p.fence, now + LoadRateLimiter.USE_WITHIN.toNanos()));
        }
    }

    /** Ends loads of engines that are neither planned nor listed; the plan keeps an engine for a while after it vanished. */
    private void dropOrphans(PlacementPlan plan, Map<EndpointId, EngineView> engines) throws PlatformException {
        for (String name : copy.loads.entries().keySet()) {
            EndpointId e = EndpointId.of(name);
            if (!plan.targets().containsKey(e) && !engines.containsKey(e)) {
                write(copy.loads.without(e));
            }
        }
    }

    private void step(
            EndpointId e, PlacementPlan plan, LoadLimits rules, Map<EndpointId, EngineView> engines, List<Order> orders)
            throws PlatformException {
        long now = ticker.nanos();
        EngineView view = engines.get(e);
        LoadProgress p = progress.get(e);
        if (now - view.askedNanos() > FRESH.toNanos()) {
            return;
        }
        PendingLoads.Load load = copy.loads.of(e);
        p.tracked &= load != null;
        if (load != null) {
            if (!p.tracked) {
                progress.put(e, LoadProgress.ofFoundLoad(p, now));
            }
            drive(e, load, view, rules, orders);
            return;
        }
        EngineConfig target = plan.targets().get(e);
        boolean differs =
                target != null && !target.content().equals(view.reported().content());
        boolean held = heldUntil.containsKey(e) && now - heldUntil.get(e) < 0;
        if (differs && !held && !p.blocked && !view.busy() && allowed(e, view, target, rules, engines)) {
            LOG.log(Level.INFO, "[orders] {0} is drained to load {1}.", e, target.content());
            String from = view.reported().content().model();
            if (write(copy.loads.with(e, new PendingLoads.Load(from, target)))) {
                progress.put(e, LoadProgress.ofOwnLoad(p, now));
            }
        }
    }

    private boolean allowed(
            EndpointId candidate,
            EngineView view,
            EngineConfig target,
            LoadLimits rules,
            Map<EndpointId, EngineView> engines) {
        if (copy.loads.entries().size() >= rules.loadsAtOnce()) {
            return false;
        }
        String model = view.reported().content().model();
        if (!view.inService()) {
            return true;
        }
        int all = 0;
        Set<String> out = new HashSet<>();
        for (Map.Entry<EndpointId, EngineView> e : engines.entrySet()) {
            EngineView other = e.getValue();
            if (!other.service().equals(view.service())) {
                continue;
            }
            PendingLoads.Load load = copy.loads.of(e.getKey());
            boolean fresh = ticker.nanos() - other.askedNanos() <= FRESH.toNanos();
            boolean here = other.reported().content().model().equals(model);
            if (load != null && load.fromModel().equals(model) || here && (load != null || !other.inService())) {
                out.add(e.getKey().value());
            }
            // An engine without a fresh report may have changed its model, so it adds nothing to what is allowed.
            all += here && fresh ? 1 : 0;
        }
        out.add(candidate.value());
        return out.size() <= rules.allowedOut(all);
    }

    private void drive(EndpointId e, PendingLoads.Load load, EngineView view, LoadLimits rules, List<Order> orders)
            throws PlatformException {
        long now = ticker.nanos();
        LoadProgress p = progress.get(e);
        if (view.reported().content().equals(load.to().content())) {
            settle(e, p, view, now);
            return;
        }
        p.loaded = false;
        if (view.busy() || !view.idle() || !p.due(view.askedNanos(), view.boot())) {
            return;
        }
        if (p.attempts >= MAX_ATTEMPTS) {
            LOG.log(Level.WARNING, "[orders] {0} did not load {1}; it is left alone.", e, load.to());
            heldUntil.put(e, now + HOLD.toNanos());
            write(copy.loads.without(e));
            return;
        }
        if (rate.take(rules.loadsPerMinute())) {
            p.sent(ticker.nanos(), view.boot());
            ModelSpec from = view.reported().content();
            ModelSpec to = load.to().content();
            boolean same = from.model().equals(to.model()) && from.version().equals(to.version());
            Order.Kind kind = same ? Order.Kind.LOAD_ADAPTER : Order.Kind.LOAD_MODEL;
            orders.add(new Order(e, kind, load.to(), p.fence, now + LoadRateLimiter.USE_WITHIN.toNanos()));
        }
    }

    private void settle(EndpointId e, LoadProgress p, EngineView view, long now) throws PlatformException {
        if (view.busy() || !p.loaded) {
            p.loaded = true;
            p.loadedSince = now;
        } else if (now - p.loadedSince >= LoadProgress.SETTLE.toNanos()) {
            LOG.log(
                    Level.INFO,
                    "[orders] {0} has loaded {1}.",
                    e,
                    view.reported().content());
            write(copy.loads.without(e));
        }
    }

    /** Writes the loads and tells whether that took effect; after an unknown outcome the next tick reads them back. */
    private boolean write(PendingLoads next) throws PlatformException {
        return switch (store.compareAndSet(PendingLoads.KEY, copy.revision, next.encode(), null)) {
            case WriteOutcome.Done done -> {
                copy.loads = next;
                copy.revision = done.revision();
                yield true;
            }
            case WriteOutcome.Conflict conflict -> {
                copy.saw(conflict.current());
                yield false;
            }
            case WriteOutcome.Unknown unknown -> throw unknown.cause();
        };
    }
}
