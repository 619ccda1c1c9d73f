package org.jujuberouter.quarantine;

import java.time.Duration;
import java.util.Set;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Fingerprint;

/**
 * Tells peers that an endpoint crashed.
 *
 * @param crashId names this crash, the same in every notice about it. The endpoint's owner makes it in advance, one for
 *     each life of the endpoint, and every permit carries it, so that a holder that lost the endpoint can name the crash
 * @param endpoint the endpoint that crashed
 * @param inFlight the requests that ran there
 * @param age how long ago it crashed when the notice is sent; processes share no clock
 */
public record CrashNotice(String crashId, EndpointId endpoint, Set<Fingerprint> inFlight, Duration age) {
    /** Copies the set. */
    public CrashNotice {
        inFlight = Set.copyOf(inFlight);
    }
}
