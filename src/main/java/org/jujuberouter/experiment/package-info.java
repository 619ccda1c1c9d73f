/** Experiments in virtual time on emulated engines, which repeat exactly for a seed. */
package org.jujuberouter.experiment;
