/** Stand-ins for what the platform and the users provide: store, list, model engine and plain service. */
package org.jujuberouter.standin;
