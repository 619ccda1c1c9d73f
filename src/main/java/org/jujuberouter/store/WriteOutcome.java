package org.jujuberouter.store;

import java.util.Optional;

/** Outcome of a conditional write. */
public sealed interface WriteOutcome {
    /**
     * The write took effect.
     *
     * @param revision the new revision of the key
     */
    record Done(long revision) implements WriteOutcome {}

    /**
     * The key did not have the expected revision; nothing was written.
     *
     * @param current the current entry, or empty if the key does not exist
     */
    record Conflict(Optional<StoreEntry> current) implements WriteOutcome {}

    /**
     * The store did not confirm the write, which may have taken effect or may still take effect.
     *
     * @param cause the failure
     */
    record Unknown(PlatformException cause) implements WriteOutcome {}
}
