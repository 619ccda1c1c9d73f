package org.jujuberouter.entry;

import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.function.Consumer;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;

/**
 * The options of an instance, from flags and environment variables.
 *
 * @param instance the id of the instance
 * @param domain the failure domain of the instance
 * @param listen the address to listen on for callers
 * @param peerListen the address to listen on for other instances
 * @param store the base URI of the platform store
 * @param list the base URI of the platform's list of instances and endpoints
 * @param maxBodyBytes the maximum size of a request body
 * @param drainTimeout the maximum time to wait for requests in flight on a planned stop
 * @param accessLog receives one line of JSON for each request
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
    /** Parses an address of the form HOST:PORT. */
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
