/** Interfaces to the platform's key-value store and member list, with HTTP and in-memory implementations. */
package org.jujuberouter.store;
