package org.jujuberouter.quarantine;

/** What the evidence says about a request. */
public enum Standing {
    /** In flight at no crash that still counts. */
    FREE,
    /** In flight at one crash: runs only where no other marked request runs. */
    MARKED,
    /** In flight at two crashes: refused everywhere. */
    CONVICTED
}
