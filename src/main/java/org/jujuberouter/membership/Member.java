package org.jujuberouter.membership;

import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;

/**
 * An instance as seen by another instance.
 *
 * @param id the instance
 * @param domain its failure domain
 * @param address host and port of its peer listener; empty if not known yet
 * @param state its state in the view of the other instance
 * @param incarnation the highest incarnation number received from it; 0 if no heartbeat was received
 */
public record Member(InstanceId id, FailureDomain domain, String address, MemberState state, long incarnation) {}
