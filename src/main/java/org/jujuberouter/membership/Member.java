package org.jujuberouter.membership;

import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;

/**
 * One instance as seen by another one.
 *
 * @param id the instance
 * @param domain its failure domain
 * @param address host and port of its peer listener; empty when it is not known yet
 * @param state what the view concludes
 * @param incarnation the highest incarnation number heard from it; 0 when it was never heard
 */
public record Member(InstanceId id, FailureDomain domain, String address, MemberState state, long incarnation) {}
