/**
 * An instance on the users' platform: caller connections, forwarding of calls to endpoints, start and stop.
 *
 * <p>The state of an instance is confined to one event loop and needs no locks.
 */
package org.jujuberouter.gateway;
