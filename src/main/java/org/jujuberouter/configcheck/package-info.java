/** Checks of a decoded configuration before it is sent: errors, entries without effect, contradictions, differences. */
package org.jujuberouter.configcheck;
