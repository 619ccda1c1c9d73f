/** Autoscaling: how much engine work the calls of a service need, and how many engines to order in each failure domain. */
package org.jujuberouter.scaling;
