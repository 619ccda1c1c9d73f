package org.jujuberouter.dispatch;

/** How a customer stands to its fair share of a service, as far as that matters for its waiting calls. */
public enum CustomerStanding {
    /** The customer has had waiting calls and less than its share for some time; its calls go first, also late ones. */
    KEPT_BELOW_SHARE,
    /** Calls are placed as without shares. */
    NORMAL,
    /** The customer is above its share and one below it has unmet demand; calls of the others go first. */
    DEFERRED
}
