/** Value types for identifiers and names, shared by all packages. */
package org.jujuberouter.id;
