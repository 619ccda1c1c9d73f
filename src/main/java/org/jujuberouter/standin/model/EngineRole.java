package org.jujuberouter.standin.model;

/** What an engine is meant for; it is reported but not enforced. */
public enum EngineRole {
    MIXED,
    PREFILL,
    DECODE
}
