/** The entry instance: the HTTP interface for callers and the execution of requests at endpoints. */
package org.jujuberouter.entry;
