/** Measures the resource usage of idle instances and fits how it scales with instances and endpoints. */
package org.jujuberouter.capacity;
