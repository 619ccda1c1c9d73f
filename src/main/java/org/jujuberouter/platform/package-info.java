/** The users' platform: its names, formats and calls, translated to and from the product's types; it decides nothing. */
package org.jujuberouter.platform;
