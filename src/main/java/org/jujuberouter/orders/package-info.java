/** Decides what each engine should have loaded, and when its owner may order that. */
package org.jujuberouter.orders;
