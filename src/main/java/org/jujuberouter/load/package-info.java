/** Open-loop load generator for the client API: workloads, request traces and validation of each response. */
package org.jujuberouter.load;
