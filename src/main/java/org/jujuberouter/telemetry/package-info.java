/** Metrics in the Prometheus text format, and rate-limited logging in JSON lines. */
package org.jujuberouter.telemetry;
