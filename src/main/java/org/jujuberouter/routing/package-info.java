/** Ranks the endpoints that can serve a request by cached prefix, load and failure domain. */
package org.jujuberouter.routing;
