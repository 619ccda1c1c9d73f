package org.jujuberouter.platform;

import java.net.InetSocketAddress;

/** Parses and formats socket addresses of the form IP:PORT. */
final class Addresses {
    private Addresses() {}

    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]+")) {
            throw new IllegalArgumentException("\"" + text + "\" is not an address of the form IP:PORT");
        }
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
