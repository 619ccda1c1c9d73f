package org.jujuberouter.orders;

/** The inference phases that an engine executes. */
public enum ServingRole {
    MIXED,
    PREFILL,
    DECODE
}
