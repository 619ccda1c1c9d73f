package org.jujuberouter.stream;

/** Why a chunk was dropped. */
public enum DropReason {
    /** It belongs to another request, or to an attempt that was given up. */
    OTHER_REQUEST,
    /** All of it was delivered before. */
    REPEATED,
    /** It follows a gap for which a resume is already under way. */
    AFTER_GAP,
    /** The answer is complete. */
    AFTER_END
}
