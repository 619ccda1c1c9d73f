/** Detects which instances are alive, from the platform's list, which lags, and from heartbeats. */
package org.jujuberouter.membership;
