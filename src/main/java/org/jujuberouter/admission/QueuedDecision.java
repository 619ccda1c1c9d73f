package org.jujuberouter.admission;

/**
 * A decision on a request that waited.
 *
 * @param request the request
 * @param decision the grant or refusal
 */
public record QueuedDecision(PermitRequest request, Decision decision) {}
