/** Demo of the complete system in one process, with stand-ins on the loopback interface. */
package org.jujuberouter.demo;
