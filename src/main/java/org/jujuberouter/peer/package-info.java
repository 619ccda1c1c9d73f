/**
 * Messages between instances: MessagePack in length-prefixed frames over TCP.
 *
 * <p>The protocol does not authenticate peers. It bounds what a stranger can make the process hold or do, and leaves it to
 * the network between the instances to keep strangers out.
 */
package org.jujuberouter.peer;
