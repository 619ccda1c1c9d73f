/** Value types for the ids that all parts share. */
package org.jujuberouter.id;
