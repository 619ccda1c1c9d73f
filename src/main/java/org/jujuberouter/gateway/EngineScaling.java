package org.jujuberouter.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujuberouter.catalog.Catalog;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.dispatch.EndpointRegistry;
import org.jujuberouter.dispatch.TrackedEndpoint;
import org.jujuberouter.duty.DutyResult;
import org.jujuberouter.duty.DutyTask;
import org.jujuberouter.duty.DutyTerm;
import org.jujuberouter.duty.InstanceDemand;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.scaling.EngineCount;
import org.jujuberouter.scaling.ScaleController;
import org.jujuberouter.scaling.ScaleOrder;
import org.jujuberouter.scaling.ScalingInputs;
import org.jujuberouter.scaling.ScalingPolicy;

/** Orders engines while this instance leads: gives the controller its view and sends what it decides. */
final class EngineScaling implements DutyTask {
    private final Gateway gateway;
    private final DutySync duties;
    private final ScalingTelemetry telemetry;
    private final ScaleController controller;
    private Optional<DutyTerm> current = Optional.empty();

    private EngineScaling(Gateway gateway, DutySync duties) {
        this.gateway = gateway;
        this.duties = duties;
        this.telemetry = ScalingTelemetry.of(gateway.log(), gateway.metrics());
        this.controller = ScaleController.of(ScalingPolicy.defaults(), telemetry);
    }

    /** Adds the orders of engines to the duties of this instance, and the demand it sees to its reports. */
    static void start(Gateway gateway, DutySync duties) {
        duties.addTask(new EngineScaling(gateway, duties));
        duties.setDemand(gateway::demand);
    }

    @Override
    public void run(DutyTerm term, int listedInstances, List<InstanceDemand> demands) {
        Optional<Catalog> catalog = gateway.catalog();
        if (catalog.isEmpty()) {
            return;
        }
        long now = gateway.ticker().millis();
        if (!current.equals(Optional.of(term))) {
            current = Optional.of(term);
            controller.leaderChanged(now);
        }
        ScalingInputs inputs = new ScalingInputs(
                catalog.get().services(), countEngines(), gateway.registry().evacuated(), listedInstances, demands);
        for (ScaleOrder order : controller.decide(now, inputs)) {
            duties.orderEngines(term, order.service(), order.domain(), order.count(), result -> {
                if (result == DutyResult.ACCEPTED) {
                    controller.orders().accepted(order, gateway.ticker().millis());
                } else {
                    controller.orders().failed(order, gateway.ticker().millis());
                }
            });
        }
    }

    @Override
    public void termEnded() {
        current = Optional.empty();
        telemetry.leadershipLost();
    }

    private Map<ServiceName, Map<FailureDomain, EngineCount>> countEngines() {
        Map<ServiceName, Map<FailureDomain, EngineCount>> counts = new HashMap<>();
        Ticker ticker = gateway.ticker();
        EndpointRegistry registry = gateway.registry();
        for (ServiceSpec service : gateway.catalog().map(Catalog::services).orElse(List.of())) {
            if (service.scaling().isPresent()) {
                counts.put(service.name(), count(registry.all(service.name()), ticker.nanos()));
            }
        }
        return counts;
    }

    private static Map<FailureDomain, EngineCount> count(List<TrackedEndpoint> engines, long now) {
        Map<FailureDomain, EngineCount> counts = new HashMap<>();
        for (TrackedEndpoint e : engines) {
            if (!e.isUsable(now)) {
                continue;
            }
            boolean cold = e.isCold(now);
            boolean usable = !cold && !e.isBackedOff(now);
            counts.merge(
                    e.registration().domain(),
                    new EngineCount(1, usable ? 1 : 0, cold ? 1 : 0),
                    (a, b) -> new EngineCount(
                            a.registered() + b.registered(), a.usable() + b.usable(), a.cold() + b.cold()));
        }
        return counts;
    }
}
