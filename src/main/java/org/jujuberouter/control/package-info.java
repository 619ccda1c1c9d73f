/** Access to the platform's store: the entries that instances watch, and their own registration. */
package org.jujuberouter.control;
