/** Adapter to the users' platform: translates its names, formats and calls to the router's types, without any logic. */
package org.jujuberouter.platform;
