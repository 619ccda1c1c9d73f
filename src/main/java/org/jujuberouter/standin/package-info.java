/** Emulators of the outside systems: the platform's store and list, engines and plain services. */
package org.jujuberouter.standin;
