/** The entry instance: the callers' HTTP interface and the path of a request to an endpoint. */
package org.jujuberouter.entry;
