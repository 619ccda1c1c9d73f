/** HTTP/1.1 clients based on Netty: calls on dedicated connections, and short JSON calls on persistent connections. */
package org.jujuberouter.http;
