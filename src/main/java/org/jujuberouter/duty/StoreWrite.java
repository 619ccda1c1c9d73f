package org.jujuberouter.duty;

/** The outcome of a conditional write to the store. */
public sealed interface StoreWrite {
    /** The write was made, at the given revision. */
    record Applied(long revision) implements StoreWrite {}

    /** The write was not made, since a key did not have the expected revision. */
    record Conflict() implements StoreWrite {}

    /** There was no response; the write may have been made or may still be made. */
    record Unknown(String reason) implements StoreWrite {}
}
