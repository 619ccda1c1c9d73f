package org.jujuberouter.admission;

import java.util.List;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.InstanceId;

/**
 * What an instance that no longer admits for an endpoint tells the one that does.
 *
 * @param endpoint the endpoint
 * @param fence the fencing number under which the permits were granted
 * @param next the instance to tell
 * @param permits all permits that are not known to have ended
 */
public record Handover(EndpointId endpoint, long fence, InstanceId next, List<Permit> permits) {}
