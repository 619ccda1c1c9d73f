/** The operators' settings: schema, inheritance, changes with ids and versions, and each instance's cache of them. */
package org.jujuberouter.settings;
