package org.jujuberouter.admission;

import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.RequestId;

/**
 * A request to send one piece of work to the endpoint.
 *
 * @param id the request
 * @param holder the run of the process that holds the caller
 * @param customer the customer that is charged in the fair queue
 * @param weight the customer's weight, above 0
 * @param promptClass the lane by prompt length
 * @param tokens prompt plus the longest answer
 * @param fingerprint what identifies a resend of the same body
 * @param runsAlone whether the fingerprint carries a crash mark and may not run beside another marked one
 * @param deadlineNanos the latest useful start, on the controller's ticker
 */
public record PermitRequest(
        RequestId id,
        Incarnation holder,
        CustomerId customer,
        double weight,
        PromptClass promptClass,
        long tokens,
        Fingerprint fingerprint,
        boolean runsAlone,
        long deadlineNanos) {
    /** Rejects amounts that make no sense. */
    public PermitRequest {
        if (!(weight > 0) || tokens < 0) {
            throw new IllegalArgumentException("weight " + weight + " or tokens " + tokens + " is out of range");
        }
    }
}
