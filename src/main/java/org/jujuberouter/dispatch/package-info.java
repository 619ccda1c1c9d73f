/** Where work goes, who waits and who is refused; pure decisions on a ticker. */
package org.jujuberouter.dispatch;
