/** Assigns each endpoint an owner that admits its requests, and divides the bounds while the owner is in doubt. */
package org.jujuberouter.ownership;
