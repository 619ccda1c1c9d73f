/** Simulations in virtual time on emulated engines; results are deterministic for a given seed. */
package org.jujuberouter.experiment;
