/** Limits of customers, shared between the instances without a message per request. */
package org.jujuberouter.limits;
