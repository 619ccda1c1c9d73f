/**
 * Request lifecycle: retries, the reported outcome and at-most-once execution.
 *
 * <p>{@link org.jujuberouter.outcome.RequestLifecycle} decides after each event of one request;
 * {@link org.jujuberouter.outcome.IdempotencyStore} maintains the records of non-idempotent calls in the platform
 * store.
 */
package org.jujuberouter.outcome;
