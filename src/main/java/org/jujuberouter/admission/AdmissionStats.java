package org.jujuberouter.admission;

/**
 * What operators see of one endpoint's controller.
 *
 * @param bound what the endpoint may hold now
 * @param own work under permits of this owner
 * @param foreign work of earlier owners and work without a permit
 * @param waiting requests that wait
 * @param fence the fencing number; 0 before the first ownership
 * @param inDoubt whether part of the bound is set aside for earlier owners
 */
public record AdmissionStats(
        Capacity bound, Capacity own, Capacity foreign, int waiting, long fence, boolean inDoubt) {}
