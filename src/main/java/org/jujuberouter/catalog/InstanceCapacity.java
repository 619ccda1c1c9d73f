package org.jujuberouter.catalog;

/** Sizes that one instance can hold. */
public final class InstanceCapacity {
    /**
     * Maximum size of a request body: seven eighths of the budget for bodies, which is half of the heap of 160 MB.
     */
    public static final int MAX_BODY_BYTES = 70_000_000;

    /** Maximum size of a request header; each caller's connection may hold one. */
    public static final int MAX_HEADER_BYTES = 1_000_000;

    private InstanceCapacity() {}
}
