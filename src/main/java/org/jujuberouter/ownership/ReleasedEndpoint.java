package org.jujuberouter.ownership;

import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.InstanceId;

/**
 * An endpoint that this instance released, to be announced to the next owner by a handover message.
 *
 * @param endpoint the endpoint
 * @param fence the fencing number under which it was held
 * @param next the instance that should claim it now, or null when no candidate is live
 */
public record ReleasedEndpoint(EndpointId endpoint, long fence, InstanceId next) {}
