/** A supervisor tree: ordered start and stop of the parts of a process, and restarts with bounded intensity. */
package org.jujuberouter.supervisor;
