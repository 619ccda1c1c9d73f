/** A trial of the whole system in one process, against stand-ins on loopback. */
package org.jujuberouter.demo;
