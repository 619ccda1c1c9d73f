/** Which instances are alive, from the platform's lagging list and from heartbeats. */
package org.jujuberouter.membership;
