/** Data model of the current configuration and of the registered endpoints, as last received from the platform. */
package org.jujuberouter.catalog;
