/** Bytes held for callers: bounds per stream, customer and instance, backpressure and fair wake-up. */
package org.jujuberouter.memory;
