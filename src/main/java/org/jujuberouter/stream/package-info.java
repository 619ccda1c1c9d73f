/** Complete responses over unreliable connections: offsets, resume and detection of stalled connections. */
package org.jujuberouter.stream;
