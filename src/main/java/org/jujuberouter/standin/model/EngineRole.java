package org.jujuberouter.standin.model;

/** The intended use of an engine; reported, but not enforced. */
public enum EngineRole {
    MIXED,
    PREFILL,
    DECODE
}
