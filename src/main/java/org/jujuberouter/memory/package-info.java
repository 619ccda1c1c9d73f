/** Bytes held for callers: limits per stream, customer and instance, backpressure and fair wake-up. */
package org.jujuberouter.memory;
