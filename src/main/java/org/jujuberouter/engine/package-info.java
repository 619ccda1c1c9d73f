/** HTTP clients for endpoints: model engines and plain services. */
package org.jujuberouter.engine;
