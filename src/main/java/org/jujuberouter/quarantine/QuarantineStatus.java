package org.jujuberouter.quarantine;

/** The status of a request by its crash marks. */
public enum QuarantineStatus {
    /** Was in flight at no crash that still counts. */
    UNMARKED,
    /** Was in flight at one crash: runs only at endpoints where no other marked request is running. */
    MARKED,
    /** Was in flight at two crashes: refused by all instances. */
    QUARANTINED
}
