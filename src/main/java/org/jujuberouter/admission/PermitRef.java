package org.jujuberouter.admission;

import org.jujuberouter.id.RequestId;

/**
 * Names one grant.
 *
 * <p>The same request may be granted again when a reply was lost or came too late. The news that the earlier grant was not
 * used may then arrive after the later grant, and must not free it.
 *
 * @param request the request
 * @param fence the owner's fencing number
 * @param serial counts the grants of one owner
 */
public record PermitRef(RequestId request, long fence, long serial) {}
