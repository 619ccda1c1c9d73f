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
 * <p>A controller outlives a short loss of ownership, so that an instance whose lease lapsed and that claims the endpoint
 * again still knows its permits. It is removed when another owner is known; its permits are then handed over to that owner.
 */
public final class AdmissionControllers {
    private final Ticker ticker;
    private final Function<EndpointId, AdmissionAuthority> mandates;
    private final HolderLiveness holders;
    private final Predicate<EndpointId> lists;
    private final Map<EndpointId, AdmissionController> controllers = new ConcurrentHashMap<>();
    private volatile Set<EndpointId> drained = Set.of();

    private AdmissionControllers(
            Ticker ticker,
            Function<EndpointId, AdmissionAuthority> mandates,
            HolderLiveness holders,
            Predicate<EndpointId> lists) {
        this.ticker = ticker;
        this.mandates = mandates;
        this.holders = holders;
        this.lists = lists;
    }

    /**
     * Returns an empty set of controllers.
     *
     * @param mandates what ownership allows, asked at every grant
     * @param holders the view of the processes that hold permits
     * @param lists which endpoints list their requests, as engines do and plain services do not
     */
    public static AdmissionControllers of(
            Ticker ticker,
            Function<EndpointId, AdmissionAuthority> mandates,
            HolderLiveness holders,
            Predicate<EndpointId> lists) {
        return new AdmissionControllers(ticker, mandates, holders, lists);
    }

    /** Returns the controller of an endpoint, new if need be. */
    public AdmissionController controller(EndpointId endpoint) {
        return controllers.computeIfAbsent(endpoint, id -> {
            AdmissionController controller = lists.test(id)
                    ? AdmissionController.ofEngine(ticker, id, () -> mandates.apply(id), holders)
                    : AdmissionController.ofPlainService(ticker, id, () -> mandates.apply(id), holders);
            controller.drain(drained.contains(id));
            return controller;
        });
    }

    /** Returns the controllers that exist. */
    public Collection<AdmissionController> all() {
        return List.copyOf(controllers.values());
    }

    /** Sets which endpoints operators have taken out of service, alone or with their failure domain. */
    public void drain(Set<EndpointId> endpoints) {
        drained = Set.copyOf(endpoints);
        controllers.forEach((id, controller) -> controller.drain(endpoints.contains(id)));
    }

    /**
     * Ticks all controllers and ends those that another instance now keeps.
     *
     * @param changed called with each controller after its tick, to deliver its answers
     * @return what to tell the new owners
     */
    public List<Handover> tick(Consumer<AdmissionController> changed) {
        List<Handover> handovers = new ArrayList<>();
        controllers.forEach((id, controller) -> {
            controller.tick();
            changed.accept(controller);
            Optional<InstanceId> other =
                    mandates.apply(id) instanceof AdmissionAuthority.None none ? none.hint() : Optional.empty();
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
