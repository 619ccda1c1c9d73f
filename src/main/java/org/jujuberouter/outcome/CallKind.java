package org.jujuberouter.outcome;

/** How often a call may be sent. */
public enum CallKind {
    /** Running it again posts nothing; it may be sent again within deadline and retry budget. */
    IDEMPOTENT,
    /** Not idempotent, protected by a record in the store; sent again only when every earlier attempt is proven not run. */
    KEYED,
    /** Not idempotent and without a key; one attempt, never repeated. */
    UNKEYED
}
