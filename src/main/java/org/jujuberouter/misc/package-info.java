/** Utilities shared by several packages: time sources, JSON mapping and rendezvous hashing. */
package org.jujuberouter.misc;
