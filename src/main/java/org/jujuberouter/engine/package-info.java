/** Clients of the endpoints: model engines and plain services over HTTP. */
package org.jujuberouter.engine;
