package org.jujuberouter.stream;

/** Why a chunk was dropped. */
public enum DropReason {
    /** It belongs to another request or to an abandoned attempt. */
    OTHER_REQUEST,
    /** All of it was already delivered. */
    REPEATED,
    /** It follows a gap, and a resume is already in progress. */
    AFTER_GAP,
    /** The response is already complete. */
    AFTER_END
}
