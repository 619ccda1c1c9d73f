package org.jujuberouter.admission;

/**
 * The decision on a request that was queued.
 *
 * @param request the request
 * @param decision the grant or refusal
 */
public record QueuedDecision(PermitRequest request, Decision decision) {}
