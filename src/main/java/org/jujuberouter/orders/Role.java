package org.jujuberouter.orders;

/** What an engine is meant for. */
public enum Role {
    MIXED,
    PREFILL,
    DECODE
}
