package org.jujuberouter.scaling;

import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.ServiceName;

/**
 * An order for a number of engines.
 *
 * @param service the service
 * @param domain the failure domain
 * @param count total number of engines that the service shall have in the domain
 */
public record ScaleOrder(ServiceName service, FailureDomain domain, int count) {}
