package org.jujuberouter.scaling;

import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;

/** Receives the controller's decisions, for metrics and the log. */
public interface ScalingObserver {
    /** Observes the desired and the registered number of engines; called for each domain at each decision. */
    void engines(ServiceName service, FailureDomain domain, int wanted, int registered);

    /**
     * Observes an order before it is sent.
     *
     * @param order the order
     * @param registered number of engines that are registered in the domain
     * @param reason why the number changes
     * @param load engines that the calls of the service would keep busy throughout, in all domains
     */
    void ordered(ScaleOrder order, int registered, String reason, double load);
}
