package org.jujuberouter.quarantine;

/** What the evidence says about a request. */
public enum QuarantineStatus {
    /** In flight at no crash that still counts. */
    UNMARKED,
    /** In flight at one crash: runs only where no other marked request runs. */
    MARKED,
    /** In flight at two crashes: refused everywhere. */
    QUARANTINED
}
