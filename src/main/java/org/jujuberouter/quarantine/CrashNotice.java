package org.jujuberouter.quarantine;

import java.time.Duration;
import java.util.Set;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Fingerprint;

/**
 * Tells peers that an endpoint crashed.
 *
 * @param crashId the id of the crash, the same in every notice about it. The endpoint's owner generates it in advance,
 *     one for each start of the endpoint, and every permit carries it, so that a holder that lost the endpoint can
 *     report it
 * @param endpoint the endpoint that crashed
 * @param inFlight the fingerprints of the requests in flight at the endpoint
 * @param age the time from the crash to the sending of the notice, since processes share no clock
 */
public record CrashNotice(String crashId, EndpointId endpoint, Set<Fingerprint> inFlight, Duration age) {
    /** Makes a defensive copy. */
    public CrashNotice {
        inFlight = Set.copyOf(inFlight);
    }
}
