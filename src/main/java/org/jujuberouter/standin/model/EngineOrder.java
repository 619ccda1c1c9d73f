package org.jujuberouter.standin.model;

/** An order to an engine; it carries the fencing number of who gives it. */
public sealed interface EngineOrder {
    /** Returns the fencing number. */
    long fencing();

    /**
     * Loads another model, which takes time, clears the cache and starts cold.
     *
     * @param fencing the fencing number
     * @param target what to load
     */
    record LoadModel(long fencing, LoadedModel target) implements EngineOrder {}

    /**
     * Changes the adapter without a restart.
     *
     * @param fencing the fencing number
     * @param adapter the adapter; empty for none
     */
    record LoadAdapter(long fencing, String adapter) implements EngineOrder {}

    /**
     * Changes the role.
     *
     * @param fencing the fencing number
     * @param role the new role
     */
    record ChangeRole(long fencing, EngineRole role) implements EngineOrder {}
}
