/** Calls to the platform that one instance at a time may make: who makes them, and what they report. */
package org.jujuberouter.duty;
