/** Placement, queueing and refusal of calls, without I/O and with an injected clock. */
package org.jujuberouter.dispatch;
