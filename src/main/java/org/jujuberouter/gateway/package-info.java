/**
 * An instance on the users' platform: callers' connections, the way of a call to its endpoint and back, start and stop.
 *
 * <p>All of it runs on one event loop, so its state needs no locks.
 */
package org.jujuberouter.gateway;
