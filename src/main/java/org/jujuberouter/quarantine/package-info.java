/**
 * Limits the number of endpoints that a crashing request can take down to two.
 *
 * <p>{@link org.jujuberouter.quarantine.CrashEvidence} merges the crashes that all instances observed;
 * {@link org.jujuberouter.quarantine.RunArbiter} ensures that a request does not run again before the outcome of its
 * previous run is known.
 */
package org.jujuberouter.quarantine;
