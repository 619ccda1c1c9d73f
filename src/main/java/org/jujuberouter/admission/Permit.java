package org.jujuberouter.admission;

import java.time.Duration;
import org.jujuberouter.id.RequestId;

/**
 * The right to send one request to the endpoint.
 *
 * <p>The holder counts {@link #VALIDITY} from when it last asked, on its own clock, and sends no byte after that. The reply may
 * therefore be delayed for any time, also by a pause of the owner after its check, without being used late.
 *
 * @param request what was permitted
 * @param fence the owner's fencing number
 * @param serial counts the grants under that number
 * @param grantedNanos when it was granted, on the owner's ticker
 */
public record Permit(PermitRequest request, long fence, long serial, long grantedNanos) {
    /** How long a permit that is not used is valid, from the holder's latest ask. */
    public static final Duration VALIDITY = Duration.ofSeconds(1);

    /** How often a holder whose request waits asks again; the place in the queue is kept. */
    public static final Duration RETRY_PERIOD = Duration.ofMillis(500);

    /** Returns what names this grant in a release. */
    public PermitRef ref() {
        return new PermitRef(request.id(), fence, serial);
    }

    /** Returns the request's id. */
    public RequestId id() {
        return request.id();
    }
}
