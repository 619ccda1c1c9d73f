/** The soak test: instances as processes, injected faults, and checks of what callers and endpoints observe. */
package org.jujuberouter.process.soak;
