package org.jujuberouter.admission;

import java.util.List;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.InstanceId;

/**
 * The permits that an earlier owner of an endpoint hands over to the new one.
 *
 * @param endpoint the endpoint
 * @param fence the fencing number under which the permits were granted
 * @param next the new owner
 * @param permits all permits that are not known to have ended
 */
public record Handover(EndpointId endpoint, long fence, InstanceId next, List<Permit> permits) {}
