package org.jujuberouter.orders;

/**
 * What an engine should be.
 *
 * @param content what it should have loaded
 * @param role its role
 */
public record EngineConfig(ModelSpec content, ServingRole role) {
    /** Returns the target. */
    public static EngineConfig of(ModelSpec content, ServingRole role) {
        return new EngineConfig(content, role);
    }
}
