package org.jujuberouter.gateway;

import java.util.HashMap;
import java.util.Map;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.scaling.ScaleOrder;
import org.jujuberouter.scaling.ScalingObserver;

/** Log lines and gauges of the leader's decisions on the number of engines. */
final class ScalingTelemetry implements ScalingObserver {
    private static final String WANTED = "engines_wanted";
    private static final String REGISTERED = "engines_registered";

    private final GatewayLog log;
    private final GatewayMetrics metrics;
    private final Map<Target, Counts> counts = new HashMap<>();

    private record Target(ServiceName service, FailureDomain domain) {}

    private static final class Counts {
        private int wanted;
        private int registered;
    }

    private ScalingTelemetry(GatewayLog log, GatewayMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    static ScalingTelemetry of(GatewayLog log, GatewayMetrics metrics) {
        return new ScalingTelemetry(log, metrics);
    }

    @Override
    public void engines(ServiceName service, FailureDomain domain, int wanted, int registered) {
        Counts current = counts.computeIfAbsent(new Target(service, domain), this::register);
        current.wanted = wanted;
        current.registered = registered;
    }

    private Counts register(Target target) {
        Counts current = new Counts();
        String labels = "service=\"" + target.service + "\",domain=\"" + target.domain + "\"";
        metrics.gauge(WANTED, labels, () -> current.wanted);
        metrics.gauge(REGISTERED, labels, () -> current.registered);
        return current;
    }

    @Override
    public void ordered(ScaleOrder order, int registered, String reason, double load) {
        log.stateChanged(
                "engine count changed",
                Map.entry("service", order.service()),
                Map.entry("domain", order.domain()),
                Map.entry("count", order.count()),
                Map.entry("registered", registered),
                Map.entry("reason", reason),
                Map.entry("load", Math.round(load * 10) / 10.0));
    }

    /** Removes the gauges, because another instance may have become the leader. */
    void leadershipLost() {
        counts.clear();
        metrics.removeGauges(WANTED);
        metrics.removeGauges(REGISTERED);
    }
}
