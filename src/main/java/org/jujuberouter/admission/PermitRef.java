package org.jujuberouter.admission;

import org.jujuberouter.id.RequestId;

/**
 * Identifies one grant.
 *
 * <p>A request may be granted again if a reply was lost or arrived too late. The release of the earlier grant may then
 * arrive after the later grant, and must not free it.
 *
 * @param request the id of the request
 * @param fence the owner's fencing number
 * @param serial the sequence number of the grant at its owner
 */
public record PermitRef(RequestId request, long fence, long serial) {}
