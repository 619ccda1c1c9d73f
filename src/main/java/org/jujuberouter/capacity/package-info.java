/** Measures what the instances cost when nothing is asked of them, and fits how the cost grows. */
package org.jujuberouter.capacity;
