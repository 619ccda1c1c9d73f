package org.jujuberouter.standin.model;

/**
 * The state of a request that is exported to another engine.
 *
 * @param request the request
 * @param prefilled prompt tokens processed
 * @param offset answer tokens generated
 */
public record KvSnapshot(EngineRequest request, long prefilled, int offset) {
    /** Returns the KV memory in tokens that an import occupies at first. */
    public long tokens() {
        return prefilled + offset;
    }
}
