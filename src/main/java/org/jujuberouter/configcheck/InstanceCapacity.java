package org.jujuberouter.configcheck;

/** Sizes that one instance can hold. */
public final class InstanceCapacity {
    /**
     * Maximum size of a request body. An instance has a heap of 160 MB and holds a body twice on its way to an engine;
     * one call may take at most half of the heap.
     */
    public static final int MAX_BODY_BYTES = 40_000_000;

    /** Maximum size of a request header; each caller's connection may hold one. */
    public static final int MAX_HEADER_BYTES = 1_000_000;

    private InstanceCapacity() {}
}
