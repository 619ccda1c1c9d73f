/** Small helpers without a better home. */
package org.jujuberouter.misc;
