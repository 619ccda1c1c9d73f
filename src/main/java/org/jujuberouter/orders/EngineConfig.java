package org.jujuberouter.orders;

/**
 * The configuration of an engine, as reported or as planned.
 *
 * @param spec the model, adapter and version
 * @param role the role
 */
public record EngineConfig(ModelSpec spec, ServingRole role) {
    /** Returns the configuration with these values. */
    public static EngineConfig of(ModelSpec spec, ServingRole role) {
        return new EngineConfig(spec, role);
    }
}
