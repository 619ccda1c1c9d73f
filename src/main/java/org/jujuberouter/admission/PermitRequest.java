package org.jujuberouter.admission;

import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.RequestId;

/**
 * A request for a permit to send one request to the endpoint.
 *
 * @param id the id of the request
 * @param holder the incarnation of the process that serves the caller
 * @param customer the customer that is charged in the fair queue
 * @param weight the customer's weight, above 0
 * @param promptClass the class of its prompt length
 * @param tokens the tokens of the prompt plus the longest possible response
 * @param fingerprint identifies resends of the same body
 * @param runsAlone whether the fingerprint carries a crash mark and may not run beside another marked one
 * @param deadlineNanos the time by which the request must start, on the controller's ticker
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
    /** Rejects a weight that is not positive and a negative number of tokens. */
    public PermitRequest {
        if (!(weight > 0) || tokens < 0) {
            throw new IllegalArgumentException("weight " + weight + " or tokens " + tokens + " is out of range");
        }
    }
}
