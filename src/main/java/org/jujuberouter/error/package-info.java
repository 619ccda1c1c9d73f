/** Errors that reach callers and operators, and the outcome each of them states. */
package org.jujuberouter.error;
