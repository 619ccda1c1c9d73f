/** Stand-ins for external systems: the store and the member list of the platform, engines and plain services. */
package org.jujuberouter.standin;
