package org.jujuberouter.quarantine;

import java.time.Duration;
import java.util.Set;
import org.jujuberouter.id.Fingerprint;

/**
 * Tells peers that a marked request completed.
 *
 * @param fingerprint the request
 * @param crashIds the crashes of which it is cleared
 * @param age how long ago the oldest of these crashes happened
 */
public record ClearNotice(Fingerprint fingerprint, Set<String> crashIds, Duration age) {
    /** Copies the set. */
    public ClearNotice {
        crashIds = Set.copyOf(crashIds);
    }
}
