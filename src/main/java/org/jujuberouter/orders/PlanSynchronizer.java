package org.jujuberouter.orders;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.store.PlatformException;
import org.jujuberouter.store.PlatformStore;
import org.jujuberouter.store.StoreEntry;
import org.jujuberouter.store.WriteOutcome;

/**
 * Reads, and on one instance computes and writes, the plan that all instances follow.
 *
 * <p>The plan is in the store because instances whose lists lag differently would compute different plans. Each
 * instance reads it when its settings change and once a minute; one instance, the planner, also writes it. Two
 * concurrent planners are safe: compare-and-swap orders their writes, and a plan from older settings never replaces one
 * from newer settings.
 */
public final class PlanSynchronizer {
    /**
     * Time for which an engine must be missing before its target is removed, so that a restart moves no other engine.
     */
    static final Duration REMOVAL_DELAY = Duration.ofSeconds(60);

    private static final long REFRESH_NANOS = Duration.ofSeconds(60).toNanos();
    private static final long PLAN_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long RETRY_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Logger LOG = System.getLogger(PlanSynchronizer.class.getName());

    private final Ticker ticker;
    private final PlatformStore store;
    private final Map<EndpointId, Long> missingSince = new HashMap<>();
    private final Map<EndpointId, ServiceName> services = new HashMap<>();
    private PlacementPlan plan = PlacementPlan.empty();
    private long revision;
    private long nextReadAt;
    private long nextPlanAt;
    private long lastReadVersion = -1;

    private PlanSynchronizer(Ticker ticker, PlatformStore store) {
        this.ticker = ticker;
        this.store = store;
        this.nextReadAt = ticker.nanos();
        this.nextPlanAt = nextReadAt;
    }

    /** Returns a synchronizer that has not read the plan yet. */
    public static PlanSynchronizer of(Ticker ticker, PlatformStore store) {
        return new PlanSynchronizer(ticker, store);
    }

    /**
     * Executes the steps that are due and returns the plan.
     *
     * @param version the version of the settings
     * @param declarations the declarations in the settings
     * @param engines the listed engines with their latest reports
     * @param planner whether this instance is the planner
     */
    public synchronized PlacementPlan tick(
            long version,
            Map<ServiceName, List<ModelDeclaration>> declarations,
            Map<EndpointId, EngineView> engines,
            boolean planner) {
        long now = ticker.nanos();
        updateMissing(engines, now);
        try {
            boolean newer = version > lastReadVersion;
            if (newer || now - nextReadAt >= 0 || planner && now - nextPlanAt >= 0) {
                lastReadVersion = version;
                nextReadAt = now + (version > plan.settingsVersion() ? RETRY_NANOS : REFRESH_NANOS);
                read();
                if (planner) {
                    nextPlanAt = now + PLAN_NANOS;
                    write(version, declarations, engines, now);
                }
            }
        } catch (PlatformException e) {
            nextReadAt = now + RETRY_NANOS;
            nextPlanAt = now + RETRY_NANOS;
            LOG.log(Level.DEBUG, "[orders] platform store unavailable, plan not synchronized: {0}", e.getMessage());
        }
        return plan;
    }

    private void updateMissing(Map<EndpointId, EngineView> engines, long now) {
        engines.forEach((e, v) -> services.put(e, v.service()));
        missingSince.keySet().retainAll(plan.targets().keySet());
        missingSince.keySet().removeAll(engines.keySet());
        for (EndpointId e : plan.targets().keySet()) {
            if (!engines.containsKey(e)) {
                missingSince.putIfAbsent(e, now);
            }
        }
    }

    private void read() throws PlatformException {
        Optional<StoreEntry> entry = store.read(PlacementPlan.KEY);
        plan = entry.isPresent() ? PlacementPlan.decode(entry.get()) : PlacementPlan.empty();
        revision = entry.map(StoreEntry::revision).orElse(PlatformStore.ABSENT);
    }

    private void write(
            long version,
            Map<ServiceName, List<ModelDeclaration>> declarations,
            Map<EndpointId, EngineView> engines,
            long now)
            throws PlatformException {
        if (version < plan.settingsVersion()) {
            return;
        }
        PlacementPlan next = new PlacementPlan(version, targets(declarations, engines, now));
        if (next.equals(plan)) {
            return;
        }
        switch (store.compareAndSet(PlacementPlan.KEY, revision, next.encode(), null)) {
            case WriteOutcome.Done done -> {
                plan = next;
                revision = done.revision();
                LOG.log(
                        Level.INFO,
                        "[orders] wrote plan for {0} engines from settings version {1}",
                        next.targets().size(),
                        version);
            }
            case WriteOutcome.Conflict _ -> read();
            case WriteOutcome.Unknown _ -> nextPlanAt = now;
        }
    }

    private Map<EndpointId, EngineConfig> targets(
            Map<ServiceName, List<ModelDeclaration>> declarations, Map<EndpointId, EngineView> engines, long now) {
        Map<EndpointId, EngineConfig> all = new HashMap<>();
        declarations.forEach((service, declared) -> {
            Map<EndpointId, EngineConfig> reported = new HashMap<>();
            engines.forEach((e, v) -> {
                if (v.service().equals(service)) {
                    reported.put(e, v.reported());
                }
            });
            missingSince.forEach((e, since) -> {
                EngineConfig target = plan.targets().get(e);
                if (service.equals(services.get(e)) && target != null && now - since < REMOVAL_DELAY.toNanos()) {
                    reported.put(e, target);
                }
            });
            all.putAll(EngineAllocator.allocate(declared, reported, plan.targets()));
        });
        return all;
    }
}
