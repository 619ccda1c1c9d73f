package org.jujuberouter.store;

import java.util.Optional;

/** The outcome of a conditional write. */
public sealed interface WriteOutcome {
    /**
     * The write took effect.
     *
     * @param revision the new revision of the key
     */
    record Done(long revision) implements WriteOutcome {}

    /**
     * The key was not at the expected revision; nothing was written.
     *
     * @param current the entry that stands there, or empty when the key is absent
     */
    record Conflict(Optional<StoreEntry> current) implements WriteOutcome {}

    /**
     * No answer came; the write may or may not have taken effect, now or a little later.
     *
     * @param cause what went wrong
     */
    record Unknown(PlatformException cause) implements WriteOutcome {}
}
