/** The platform's key-value store and instance list, behind small interfaces. */
package org.jujuberouter.store;
