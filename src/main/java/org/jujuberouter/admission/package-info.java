/**
 * Admission control for each endpoint: the bound on its load, the limits of each prompt class, the wait queues and the
 * permits.
 */
package org.jujuberouter.admission;
