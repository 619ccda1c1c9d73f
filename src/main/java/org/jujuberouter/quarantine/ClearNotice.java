package org.jujuberouter.quarantine;

import java.time.Duration;
import java.util.Set;
import org.jujuberouter.id.Fingerprint;

/**
 * Tells peers that a marked request completed, which clears its marks.
 *
 * @param fingerprint the fingerprint of the request
 * @param crashIds the crashes whose marks are cleared
 * @param age the time since the oldest of these crashes
 */
public record ClearNotice(Fingerprint fingerprint, Set<String> crashIds, Duration age) {
    /** Makes a defensive copy. */
    public ClearNotice {
        crashIds = Set.copyOf(crashIds);
    }
}
