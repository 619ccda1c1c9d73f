/** Errors returned to callers and operators, each with the execution outcome that it implies. */
package org.jujuberouter.error;
