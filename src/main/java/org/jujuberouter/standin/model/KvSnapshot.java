package org.jujuberouter.standin.model;

/**
 * The state of a request that moves to another engine.
 *
 * @param request the request
 * @param prefilled prompt tokens processed
 * @param offset answer tokens generated
 */
public record KvSnapshot(EngineRequest request, long prefilled, int offset) {
    /** Returns the memory that an import needs at once. */
    public long tokens() {
        return prefilled + offset;
    }
}
