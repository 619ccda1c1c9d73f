/** Limits of customers, divided between the instances without a message per request. */
package org.jujuberouter.limits;
