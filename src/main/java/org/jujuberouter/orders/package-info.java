/** Plans which model each engine loads, and schedules the orders of the owners that carry out the plan. */
package org.jujuberouter.orders;
