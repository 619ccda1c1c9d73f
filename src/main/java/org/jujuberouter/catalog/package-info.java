/** The configuration in force and the endpoints that are there, as the platform told last. */
package org.jujuberouter.catalog;
