package org.jujuberouter.routing;

import java.util.Optional;
import org.jujuberouter.id.ModelName;
import org.jujuberouter.id.ServiceName;

/**
 * A unit that endpoints serve: one combination of model, adapter and version of a service, or a plain service.
 *
 * @param service the service
 * @param model the model; empty for a plain service
 * @param adapter the adapter; empty for none
 * @param version the version; empty if versions are not distinguished
 */
public record ServiceVariant(ServiceName service, Optional<ModelName> model, String adapter, String version) {
    /** Returns the variant of a service with the given model, adapter and version. */
    public static ServiceVariant of(ServiceName service, ModelName model, String adapter, String version) {
        return new ServiceVariant(service, Optional.of(model), adapter, version);
    }

    /** Returns the variant of a plain service, which has no model. */
    public static ServiceVariant plain(ServiceName service) {
        return new ServiceVariant(service, Optional.empty(), "", "");
    }

    /**
     * Returns the text from which the subset for long prompts is derived. It must never change, not even with the name
     * of this class: instances of different releases that serve side by side have to agree on the subset.
     */
    String hashText() {
        return "Placement[service=" + service + ", model=" + model + ", adapter=" + adapter + ", version=" + version
                + "]";
    }
}
