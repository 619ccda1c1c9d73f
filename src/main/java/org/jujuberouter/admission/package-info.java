/** What one endpoint may hold: its bound, its lanes, its wait queue and its permits. */
package org.jujuberouter.admission;
