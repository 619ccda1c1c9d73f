/** HTTP/1.1 over Netty: one call on a connection of its own, and small JSON calls on kept connections. */
package org.jujuberouter.http;
