package org.jujuberouter.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.catalog.EngineCostModel;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.RequestId;

/**
 * Engines that this instance keeps for waiting prompts that are too large for the memory of one engine.
 *
 * <p>Calls that arrive continuously would otherwise take each freed slot first, and the large prompt would wait until it
 * expires. A reservation is known to this instance only. It never allows a placement that memory or slots would not allow
 * without it, so instances that reserve the same engine only lose time.
 */
public final class EngineReservations {
    /** Fraction of the engines of a service that may be reserved at the same time. */
    private static final double MAX_RESERVED_FRACTION = 0.25;

    /** Time after which a reservation ends unless its call is tried again; queued calls are tried every 10 ms. */
    private static final long EXPIRY_MS = 300;

    private final Map<RequestId, Reservation> reservations = new LinkedHashMap<>();
    private long made;
    private long used;
    private long released;

    private static final class Reservation {
        private final CallRequirements call;
        private final Set<EndpointId> engines;
        private final long startsAt;
        private long expiresAt;

        private Reservation(CallRequirements call, Set<EndpointId> engines, long startsAt, long expiresAt) {
            this.call = call;
            this.engines = engines;
            this.startsAt = startsAt;
            this.expiresAt = expiresAt;
        }
    }

    /** Returns the endpoints that are not kept for another call which the given call would delay. */
    List<TrackedEndpoint> open(List<TrackedEndpoint> usable, CallRequirements call, ServiceSpec service, long now) {
        if (reservations.isEmpty()) {
            return usable;
        }
        reservations.values().removeIf(r -> {
            boolean expired = r.expiresAt - now <= 0;
            released += expired ? 1 : 0;
            return expired;
        });
        double endsMs = call.expectedMs(service);
        Set<EndpointId> kept = new HashSet<>();
        for (Reservation r : reservations.values()) {
            boolean endsBefore = endsMs < (r.startsAt - now) / 1e6;
            if (!r.call.id().equals(call.id()) && !endsBefore) {
                kept.addAll(r.engines);
            }
        }
        return kept.isEmpty()
                ? usable
                : usable.stream()
                        .filter(e -> !kept.contains(e.registration().id()))
                        .toList();
    }

    /** Returns whether a call that finds no other place is worth more than each call that engines are kept for. */
    boolean isWorthMore(CallRequirements call) {
        return reservations.values().stream().allMatch(r -> r.call.onTimeGain() < call.onTimeGain());
    }

    /** Keeps engines for a call that waits, if it is one of the largest; renews its reservation if it has one. */
    void reserve(CallRequirements call, EngineCostModel engine, List<TrackedEndpoint> usable, long now) {
        if (!PromptSplit.of(call, engine, 1).reserved()) {
            return;
        }
        long expiresAt = now + TimeUnit.MILLISECONDS.toNanos(EXPIRY_MS);
        Reservation known = reservations.get(call.id());
        if (known != null) {
            known.expiresAt = expiresAt;
            return;
        }
        int maxEngines = (int) (usable.size() * MAX_RESERVED_FRACTION);
        Set<EndpointId> kept = new HashSet<>();
        for (Reservation r : reservations.values()) {
            maxEngines -= r.call.service().equals(call.service()) ? r.engines.size() : 0;
            kept.addAll(r.engines);
        }
        int parts = PromptSplit.fewest(call, engine).parts();
        if (parts > maxEngines) {
            return;
        }
        List<IdleAt> ranked = new ArrayList<>();
        for (TrackedEndpoint e : usable) {
            if (!kept.contains(e.registration().id())) {
                int slots = e.registration().slots();
                ranked.add(new IdleAt(e, e.load().timeline(engine, slots, now).idleMs()));
            }
        }
        if (ranked.size() < parts) {
            return;
        }
        ranked.sort(Comparator.comparingDouble(IdleAt::idleMs));
        Set<EndpointId> engines = new HashSet<>();
        ranked.subList(0, parts)
                .forEach(r -> engines.add(r.endpoint.registration().id()));
        double startMs = Math.min(ranked.get(parts - 1).idleMs, call.callerTimeoutMs());
        long startsAt = now + (long) (startMs * TimeUnit.MILLISECONDS.toNanos(1));
        reservations.put(call.id(), new Reservation(call, engines, startsAt, expiresAt));
        made++;
    }

    private record IdleAt(TrackedEndpoint endpoint, double idleMs) {}

    /** Ends the reservation of a call that has been sent or rejected. */
    void end(RequestId call, boolean sent) {
        if (!reservations.isEmpty() && reservations.remove(call) != null) {
            used += sent ? 1 : 0;
            released += sent ? 0 : 1;
        }
    }

    /** Returns the number of reservations made since the start. */
    public long made() {
        return made;
    }

    /** Returns the number of reservations whose call was then placed. */
    public long used() {
        return used;
    }

    /** Returns the number of reservations that ended without it. */
    public long released() {
        return released;
    }
}
