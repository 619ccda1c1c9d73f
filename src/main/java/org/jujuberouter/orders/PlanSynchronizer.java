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
 * Keeps the plan that all instances follow.
 *
 * <p>The plan stands in the store, because instances whose lists lag differently would compute different placements. Each
 * instance reads it when its settings change and once a minute; one of them, the planner, also writes it. Two planners at
 * once do no harm: compare-and-swap orders their writes, and a plan from older settings never replaces a newer one.
 */
public final class PlanSynchronizer {
    /** How long an engine must be missing before its target goes, so that a restart moves no other engine. */
    static final Duration MISSING = Duration.ofSeconds(60);

    private static final long REFRESH_NANOS = Duration.ofSeconds(60).toNanos();
    private static final long PLAN_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long RETRY_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Logger LOG = System.getLogger(PlanSynchronizer.class.getName());

    private final Ticker ticker;
    private final PlatformStore store;
    private final Map<EndpointId, Long> missingSince = new HashMap<>();
    private final Map<EndpointId, ServiceName> seenIn = new HashMap<>();
    private PlacementPlan plan = PlacementPlan.empty();
    private long revision;
    private long readAgainAt;
    private long planAt;
    private long triedVersion = -1;

    private PlanSynchronizer(Ticker ticker, PlatformStore store) {
        this.ticker = ticker;
        this.store = store;
        this.readAgainAt = ticker.nanos();
        this.planAt = readAgainAt;
    }

    /** Returns a keeper that has read nothing yet. */
    public static PlanSynchronizer of(Ticker ticker, PlatformStore store) {
        return new PlanSynchronizer(ticker, store);
    }

    /**
     * Takes the steps that are due and returns the plan.
     *
     * @param version the version of the settings
     * @param offers what the settings declare
     * @param engines the listed engines with what they last reported
     * @param planner whether this instance is the one to write the plan
     */
    public synchronized PlacementPlan tick(
            long version,
            Map<ServiceName, List<ModelDeclaration>> offers,
            Map<EndpointId, EngineView> engines,
            boolean planner) {
        long now = ticker.nanos();
        noteMissing(engines, now);
        try {
            boolean newer = version > triedVersion;
            if (newer || now - readAgainAt >= 0 || planner && now - planAt >= 0) {
                triedVersion = version;
                readAgainAt = now + (version > plan.settingsVersion() ? RETRY_NANOS : REFRESH_NANOS);
                read();
                if (planner) {
                    planAt = now + PLAN_NANOS;
                    write(version, offers, engines, now);
                }
            }
        } catch (PlatformException e) {
            readAgainAt = now + RETRY_NANOS;
            planAt = now + RETRY_NANOS;
            LOG.log(Level.DEBUG, "[orders] The plan was not read: {0}", e.getMessage());
        }
        return plan;
    }

    private void noteMissing(Map<EndpointId, EngineView> engines, long now) {
        engines.forEach((e, v) -> seenIn.put(e, v.service()));
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
            Map<ServiceName, List<ModelDeclaration>> offers,
            Map<EndpointId, EngineView> engines,
            long now)
            throws PlatformException {
        if (version < plan.settingsVersion()) {
            return;
        }
        PlacementPlan next = new PlacementPlan(version, targets(offers, engines, now));
        if (next.equals(plan)) {
            return;
        }
        switch (store.compareAndSet(PlacementPlan.KEY, revision, next.encode(), null)) {
            case WriteOutcome.Done done -> {
                plan = next;
                revision = done.revision();
                LOG.log(
                        Level.INFO,
                        "[orders] Planned {0} engines by settings {1}.",
                        next.targets().size(),
                        version);
            }
            case WriteOutcome.Conflict _ -> read();
            case WriteOutcome.Unknown _ -> planAt = now;
        }
    }

    private Map<EndpointId, EngineConfig> targets(
            Map<ServiceName, List<ModelDeclaration>> offers, Map<EndpointId, EngineView> engines, long now) {
        Map<EndpointId, EngineConfig> all = new HashMap<>();
        offers.forEach((service, offered) -> {
            Map<EndpointId, EngineConfig> reported = new HashMap<>();
            engines.forEach((e, v) -> {
                if (v.service().equals(service)) {
                    reported.put(e, v.reported());
                }
            });
            missingSince.forEach((e, since) -> {
                EngineConfig target = plan.targets().get(e);
                if (service.equals(seenIn.get(e)) && target != null && now - since < MISSING.toNanos()) {
                    reported.put(e, target);
                }
            });
            all.putAll(EngineAllocator.divide(offered, reported, plan.targets()));
        });
        return all;
    }
}
