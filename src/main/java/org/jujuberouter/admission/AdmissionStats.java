package org.jujuberouter.admission;

/**
 * The state of admission at one endpoint, for operators.
 *
 * @param bound the load that the endpoint may have now
 * @param own the load under permits of this owner
 * @param foreign the load of earlier owners and of requests without a permit
 * @param waiting the number of waiting requests
 * @param fence the fencing number; 0 before the first ownership
 * @param inDoubt whether part of the bound is reserved for earlier owners
 */
public record AdmissionStats(
        Capacity bound, Capacity own, Capacity foreign, int waiting, long fence, boolean inDoubt) {}
