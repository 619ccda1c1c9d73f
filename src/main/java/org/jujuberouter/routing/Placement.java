package org.jujuberouter.routing;

import java.util.Optional;
import org.jujuberouter.id.ModelName;
import org.jujuberouter.id.ServiceName;

/**
 * What an endpoint can serve: a combination of model, adapter and version of a service, or a plain service.
 *
 * @param service the service
 * @param model the model; empty for a plain service
 * @param adapter the adapter; empty for none
 * @param version the version; empty if versions are not told apart
 */
public record Placement(ServiceName service, Optional<ModelName> model, String adapter, String version) {
    /** Returns a combination of model, adapter and version. */
    public static Placement of(ServiceName service, ModelName model, String adapter, String version) {
        return new Placement(service, Optional.of(model), adapter, version);
    }

    /** Returns the placement of a plain service. */
    public static Placement plain(ServiceName service) {
        return new Placement(service, Optional.empty(), "", "");
    }
}
