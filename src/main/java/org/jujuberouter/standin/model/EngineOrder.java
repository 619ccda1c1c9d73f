package org.jujuberouter.standin.model;

/** An order to an engine, with the fencing number of its issuer. */
public sealed interface EngineOrder {
    /** Returns the fencing number. */
    long fencing();

    /**
     * Loads another model once no request runs or waits. The load takes time, clears the prefix cache and ends in a
     * cold start; new requests are rejected from the order until the end of the load.
     *
     * @param fencing the fencing number
     * @param target the model, adapter and version to load
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
