package org.jujuberouter.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.misc.Ticker;

/**
 * The admission controllers of all endpoints that this instance owns or was asked about.
 *
 * <p>A controller outlives a short loss of ownership, so that an instance whose lease lapsed and that claims the
 * endpoint again still knows its permits. It is removed when another owner is known; its permits are then handed over
 * to that owner.
 */
public final class AdmissionControllers {
    private final Ticker ticker;
    private final Function<EndpointId, AdmissionAuthority> authorities;
    private final HolderLiveness holders;
    private final Predicate<EndpointId> listsRequests;
    private final Map<EndpointId, AdmissionController> controllers = new ConcurrentHashMap<>();
    private volatile Set<EndpointId> drained = Set.of();

    private AdmissionControllers(
            Ticker ticker,
            Function<EndpointId, AdmissionAuthority> authorities,
            HolderLiveness holders,
            Predicate<EndpointId> listsRequests) {
        this.ticker = ticker;
        this.authorities = authorities;
        this.holders = holders;
        this.listsRequests = listsRequests;
    }

    /**
     * Returns an empty set of controllers.
     *
     * @param authorities the authority that ownership gives for an endpoint, evaluated at every grant
     * @param holders the liveness of the processes that hold permits
     * @param listsRequests which endpoints report a list of their requests: engines do, plain services do not
     */
    public static AdmissionControllers of(
            Ticker ticker,
            Function<EndpointId, AdmissionAuthority> authorities,
            HolderLiveness holders,
            Predicate<EndpointId> listsRequests) {
        return new AdmissionControllers(ticker, authorities, holders, listsRequests);
    }

    /** Returns the controller of an endpoint; creates it on first use. */
    public AdmissionController controller(EndpointId endpoint) {
        return controllers.computeIfAbsent(endpoint, id -> {
            AdmissionController controller = listsRequests.test(id)
                    ? AdmissionController.ofEngine(ticker, id, () -> authorities.apply(id), holders)
                    : AdmissionController.ofPlainService(ticker, id, () -> authorities.apply(id), holders);
            controller.drain(drained.contains(id));
            return controller;
        });
    }

    /** Returns all existing controllers. */
    public Collection<AdmissionController> all() {
        return List.copyOf(controllers.values());
    }

    /** Sets the endpoints that operators drain, alone or with their failure domain. */
    public void drain(Set<EndpointId> endpoints) {
        drained = Set.copyOf(endpoints);
        controllers.forEach((id, controller) -> controller.drain(endpoints.contains(id)));
    }

    /**
     * Ticks all controllers and removes those whose endpoint has another owner now.
     *
     * @param afterTick called with each controller after its tick, to deliver its decisions
     * @return the permits to hand over to the new owners
     */
    public List<Handover> tick(Consumer<AdmissionController> afterTick) {
        List<Handover> handovers = new ArrayList<>();
        controllers.forEach((id, controller) -> {
            controller.tick();
            afterTick.accept(controller);
            Optional<InstanceId> other =
                    authorities.apply(id) instanceof AdmissionAuthority.None none ? none.hint() : Optional.empty();
            if (other.isPresent()) {
                controllers.remove(id);
                long fence = controller.stats().fence();
                if (fence > 0) {
                    handovers.add(new Handover(id, fence, other.get(), controller.permits()));
                }
            }
        });
        return handovers;
    }
}
