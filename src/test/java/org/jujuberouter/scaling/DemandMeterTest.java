package org.jujuberouter.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.jujuberouter.catalog.ServiceSpec;
import org.jujuberouter.dispatch.CallRequirements;
import org.jujuberouter.duty.ServiceDemand;
import org.jujuberouter.id.RequestId;
import org.junit.jupiter.api.Test;

/** Guards against demand that the leader does not see, or sees twice. */
class DemandMeterTest {
    private final ServiceSpec service = new ScalingSite(ScalingPolicy.defaults(), 1, 0, 0).service();
    private final DemandMeter meter = DemandMeter.of(ScalingSite.DOMAINS.getFirst());

    private CallRequirements call(long tokens) {
        return new CallRequirements(RequestId.of("r"), service.name(), tokens, 256, 300, 200, 2_000);
    }

    @Test
    void sumsUpPrefillAndSlotTimeOfAllCallsThatArrived() {
        meter.arrived(call(5_000), service);
        meter.arrived(call(300_000), service);
        meter.refused(service.name());
        double prefillMs = ScalingSite.ENGINE.prefillMs(5_000) + ScalingSite.ENGINE.prefillMs(300_000);
        double slotMs = call(5_000).expectedMs(service) + call(300_000).expectedMs(service);
        ServiceDemand expected =
                new ServiceDemand(service.name(), ScalingSite.DOMAINS.getFirst(), prefillMs, slotMs, 4, 1);
        assertEquals(List.of(expected), meter.report(_ -> 4));
        assertEquals(List.of(expected), meter.report(_ -> 4), "the sums are cumulative");
    }

    @Test
    void countsNothingForServicesThatAreNotScaled() {
        ServiceSpec fixed = new ServiceSpec(service.name(), "/", 10, 0, Optional.of(ScalingSite.ENGINE));
        meter.arrived(call(5_000), fixed);
        meter.refused(service.name());
        assertEquals(List.of(), meter.report(_ -> 4));
    }
}
