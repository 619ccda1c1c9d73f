package org.jujuberouter.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.catalog.EngineCostModel;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.ServiceName;

/**
 * Decides whether a call for which no endpoint has room waits or is rejected, and when its caller returns.
 *
 * <p>The work in progress is evaluated at most once per {@link #MAX_FORECAST_AGE_MS} and service, because each queued call
 * is tried again every 10 ms. Calls that find a place at once never get here.
 */
final class WaitPolicy {
    private static final long MAX_FORECAST_AGE_MS = 20;

    /** Retry delay if no forecast is possible, before jitter. */
    private static final long UNKNOWN_RETRY_MS = 800;

    private static final long UNKNOWN_RETRY_JITTER_MS = 800;

    private final EndpointRegistry registry;
    private final QueueMode mode;
    private final Map<ServiceName, Snapshot> snapshots = new HashMap<>();
    private final Map<ServiceName, RetrySpread> spreads = new HashMap<>();
    private CallCounts ahead = new CallCounts();
    private int sharers = 1;

    /**
     * A forecast for all usable endpoints of a service.
     *
     * @param loadChanges changes of the load that it includes
     */
    private record Snapshot(CapacityForecast forecast, EngineCostModel engine, long at, long loadChanges) {}

    WaitPolicy(EndpointRegistry registry, QueueMode mode) {
        this.mode = mode;
        this.registry = registry;
    }

    /** Sets the calls that go before the one that is being placed. */
    void setAhead(CallCounts callsAhead) {
        ahead = callsAhead;
    }

    /** Sets the number of instances that place calls on the same engines, including this one. */
    void setSharers(int instances) {
        sharers = Math.max(1, instances);
    }

    /** Returns whether late calls are kept for as long as they can be served; they yield to others meanwhile. */
    boolean keepsLateCalls() {
        return mode != QueueMode.BY_AGE;
    }

    /**
     * Decides on a call that could not be placed.
     *
     * @param wait why it could not be placed
     * @param waitExhausted whether it has waited so long that it is kept only if it is sure to be served
     */
    PlacementDecision decide(
            CallRequirements call,
            ServiceSpec service,
            Set<EndpointId> tried,
            double waitedMs,
            PlacementDecision.Wait wait,
            boolean waitExhausted,
            long now) {
        if (mode == QueueMode.BY_AGE) {
            return waitExhausted ? new PlacementDecision.Refuse("no place in time", unknownRetryMs(call)) : wait;
        }
        double remainingMs = call.callerTimeoutMs() - waitedMs;
        Optional<CapacityForecast> capacity = capacity(call, service, tried, now);
        PlacementForecast forecast = forecast(capacity, call);
        if (isRejected(call, forecast, remainingMs, waitExhausted) && discardStale(service.name())) {
            // Capacity may have been freed since; a call is rejected only on what is known now.
            capacity = capacity(call, service, tried, now);
            forecast = forecast(capacity, call);
        }
        if (!isRejected(call, forecast, remainingMs, waitExhausted)) {
            return new PlacementDecision.Wait(wait.reason(), wait.notAway(), forecast);
        }
        boolean unservable = isUnservable(forecast, remainingMs);
        String missing = capacity.map(c -> c.missing(call, wait.reason())).orElse(wait.reason());
        return new PlacementDecision.Refuse(
                (unservable ? "cannot be served before its deadline: " : "no place in time: ") + missing,
                retryAfterMs(call, service, forecast, remainingMs, now),
                unservable);
    }

    private static boolean isUnservable(PlacementForecast forecast, double remainingMs) {
        return forecast.firstEventMs() > remainingMs;
    }

    private boolean isRejected(
            CallRequirements call, PlacementForecast forecast, double remainingMs, boolean waitExhausted) {
        return isUnservable(forecast, remainingMs) || waitExhausted && !isKept(call, forecast, remainingMs);
    }

    /** Discards the forecast of a service if its engines' load has changed since; returns whether it has. */
    private boolean discardStale(ServiceName service) {
        Snapshot known = snapshots.get(service);
        if (known == null || known.loadChanges == registry.loadChanges()) {
            return false;
        }
        snapshots.remove(service);
        return true;
    }

    /**
     * Returns whether a call that has waited for a long time is kept, although it is late.
     *
     * <p>A late long prompt delays calls that can still be on time by more than its late answer is worth, so it is kept
     * only if none of them goes before it and if its engines are certain to be free in time.
     */
    private boolean isKept(CallRequirements call, PlacementForecast forecast, double remainingMs) {
        return call.isShort()
                ? !Double.isInfinite(forecast.latestMs())
                : ahead.of(call) == 0 && forecast.latestFirstEventMs() <= remainingMs;
    }

    /** Returns the retry delay of a call whose service has no usable endpoint, at most the given one. */
    static long retryWithoutEndpointMs(CallRequirements call, double waitedMs, long maxMs) {
        return (long) Math.min(maxMs, RetrySpread.maxMs(call.callerTimeoutMs() - waitedMs));
    }

    private PlacementForecast forecast(Optional<CapacityForecast> capacity, CallRequirements call) {
        return capacity.map(c -> c.forecast(call, ahead.of(call), sharers)).orElse(PlacementForecast.UNKNOWN);
    }

    /** Returns the forecast for the engines that the call has not tried; empty without a cost model. */
    private Optional<CapacityForecast> capacity(
            CallRequirements call, ServiceSpec declaration, Set<EndpointId> tried, long now) {
        if (declaration.engine().isEmpty() || call.promptTokens() <= 0) {
            return Optional.empty();
        }
        EngineCostModel engine = declaration.engine().get();
        ServiceName service = call.service();
        if (!tried.isEmpty()) {
            List<TrackedEndpoint> untried = registry.usable(service).stream()
                    .filter(e -> !tried.contains(e.registration().id()))
                    .toList();
            return Optional.of(CapacityForecast.of(engine, untried, now));
        }
        Snapshot known = snapshots.get(service);
        if (known == null
                || !known.engine.equals(engine)
                || now - known.at > TimeUnit.MILLISECONDS.toNanos(MAX_FORECAST_AGE_MS)) {
            known = new Snapshot(
                    CapacityForecast.of(engine, registry.usable(service), now), engine, now, registry.loadChanges());
            snapshots.put(service, known);
        }
        return Optional.of(known.forecast);
    }

    private static long unknownRetryMs(CallRequirements call) {
        return UNKNOWN_RETRY_MS + Math.floorMod(call.id().hashCode(), UNKNOWN_RETRY_JITTER_MS);
    }

    private long retryAfterMs(
            CallRequirements call, ServiceSpec service, PlacementForecast forecast, double remainingMs, long now) {
        int random = call.id().hashCode();
        double foundMs = forecast.latestMs();
        if (isUnservable(forecast, remainingMs)) {
            // An earlier return would find no engine that can serve the call in the time that is left.
            foundMs = remainingMs;
        } else if (Double.isInfinite(foundMs)) {
            foundMs = unknownRetryMs(call);
        }
        return spreads.computeIfAbsent(call.service(), _ -> new RetrySpread())
                .retryAfterMs(
                        foundMs,
                        forecast.slotIntervalMs() * sharers,
                        call.onTimeGain() / Math.max(1, call.workMs(service)),
                        remainingMs,
                        random,
                        now);
    }
}
