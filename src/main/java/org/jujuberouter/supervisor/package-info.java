/** Supervisor tree: ordered start and stop of the components of a process, and restarts at a limited rate. */
package org.jujuberouter.supervisor;
