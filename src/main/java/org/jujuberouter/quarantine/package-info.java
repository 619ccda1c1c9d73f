/**
 * Keeps a request that crashes its endpoint from taking more than two of them.
 *
 * <p>{@link org.jujuberouter.quarantine.CrashEvidence} merges what all instances saw;
 * {@link org.jujuberouter.quarantine.RunArbiter} makes sure that a request is not run again before the end of its last run
 * is understood.
 */
package org.jujuberouter.quarantine;
