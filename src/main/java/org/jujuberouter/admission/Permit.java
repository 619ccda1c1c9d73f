package org.jujuberouter.admission;

import java.time.Duration;
import org.jujuberouter.id.RequestId;

/**
 * The right to send one request to the endpoint.
 *
 * <p>The holder measures {@link #VALIDITY} from its latest request, on its own clock, and sends no byte after that. A
 * reply that was delayed, by the network or by a pause of the owner after its check, is therefore never used late.
 *
 * @param request the request that was granted
 * @param fence the owner's fencing number
 * @param serial the sequence number of the grant at its owner
 * @param grantedNanos the time of the grant, on the owner's ticker
 */
public record Permit(PermitRequest request, long fence, long serial, long grantedNanos) {
    /** How long an unused permit is valid, from the holder's latest request. */
    public static final Duration VALIDITY = Duration.ofSeconds(1);

    /** How often the holder of a waiting request repeats it; the request keeps its place in the queue. */
    public static final Duration RETRY_PERIOD = Duration.ofMillis(500);

    /** Returns the reference that identifies this grant in a release. */
    public PermitRef ref() {
        return new PermitRef(request.id(), fence, serial);
    }

    public RequestId id() {
        return request.id();
    }
}
