/** Whole answers over unreliable connections: offsets, resume and detection of silent connections. */
package org.jujuberouter.stream;
