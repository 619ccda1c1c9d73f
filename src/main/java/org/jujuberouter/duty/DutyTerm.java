package org.jujuberouter.duty;

/**
 * The time for which one instance is the leader.
 *
 * @param token the fencing token of its calls; it is higher than those of all earlier terms
 */
public record DutyTerm(long token) {}
