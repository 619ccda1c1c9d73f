/**
 * The protocol between instances: MessagePack messages in length-prefixed frames over TCP.
 *
 * <p>The protocol does not authenticate peers. It limits the memory, threads and log lines that any client can cost the
 * process; access must be restricted to the instances by the network between them.
 */
package org.jujuberouter.peer;
