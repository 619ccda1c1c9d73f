package org.jujuberouter.entry;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.function.Consumer;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;

/**
 * What an instance learns at its start from flags and environment variables.
 *
 * @param instance its id
 * @param domain its failure domain
 * @param listen where callers connect
 * @param peerListen where other instances connect
 * @param store base address of the platform store
 * @param list base address of the platform's list
 * @param maxBodyBytes largest request body
 * @param drainTimeout longest wait for requests in flight at a planned stop
 * @param accessLog takes one line of JSON for each request
 */
public record EntryOptions(
        InstanceId instance,
        FailureDomain domain,
        InetSocketAddress listen,
        InetSocketAddress peerListen,
        URI store,
        URI list,
        int maxBodyBytes,
        Duration drainTimeout,
        Consumer<String> accessLog) {
    /** Parses host and port. */
    public static InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("\"" + text + "\" is not an address of the form HOST:PORT");
        }
        try {
            return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("\"" + text + "\" has no port number", e);
        }
    }
}
