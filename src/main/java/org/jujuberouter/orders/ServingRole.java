package org.jujuberouter.orders;

/** What an engine is meant for. */
public enum ServingRole {
    MIXED,
    PREFILL,
    DECODE
}
