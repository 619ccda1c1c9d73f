package org.jujuberouter.duty;

import org.jujuberouter.id.StorePosition;

/** The outcome of a conditional write to the store. */
public sealed interface StoreWrite {
    /** The write was made, at the given position. */
    record Applied(StorePosition position) implements StoreWrite {}

    /** The write was not made, since a key did not have the expected revision. */
    record Conflict() implements StoreWrite {}

    /** There was no response; the write may have been made or may still be made. */
    record Unknown(String reason) implements StoreWrite {}
}
