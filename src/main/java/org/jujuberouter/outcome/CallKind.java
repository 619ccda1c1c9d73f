package org.jujuberouter.outcome;

/** How often a call may be sent. */
public enum CallKind {
    /** Running it again has no further effect; it may be resent within deadline and retry budget. */
    IDEMPOTENT,
    /** Not idempotent, with a record in the store; resent only when every earlier attempt is known not to have run. */
    KEYED,
    /** Not idempotent and without an idempotency key; sent once and never resent. */
    UNKEYED
}
