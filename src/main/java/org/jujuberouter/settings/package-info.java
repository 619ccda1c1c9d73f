/** Operator settings: schema, inheritance, versioned changes and the cache on each instance. */
package org.jujuberouter.settings;
