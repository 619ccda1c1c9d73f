/** Open-loop load on the callers' interface, traces of it, and checks of each answer. */
package org.jujuberouter.load;
