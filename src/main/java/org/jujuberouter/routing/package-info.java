/** Orders the endpoints that may serve a prompt, by variant, cached prefix, load and failure domain. */
package org.jujuberouter.routing;
