package org.jujuberouter.ownership;

import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.InstanceId;

/**
 * An endpoint that this instance has released and whose next owner is to be notified by a handover message.
 *
 * @param endpoint the endpoint
 * @param fence the fencing number under which this instance owned it
 * @param next the instance that should claim it; null if no candidate is live
 */
public record ReleasedEndpoint(EndpointId endpoint, long fence, InstanceId next) {}
