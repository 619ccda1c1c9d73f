package org.jujuberouter.duty;

import java.util.List;
import org.jujuberouter.id.Incarnation;

/**
 * The latest demand that an instance reported to the leader.
 *
 * @param source the incarnation of the instance
 * @param ageMs time since the report arrived
 * @param demand the demand per service
 */
public record InstanceDemand(Incarnation source, long ageMs, List<ServiceDemand> demand) {}
