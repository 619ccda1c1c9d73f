package org.jujuberouter.platform;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Parses and formats socket addresses of the form IP:PORT. */
final class Addresses {
    private static final int IPV4_BYTES = 4;
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (ip == null || ip.length != IPV4_BYTES) {
            throw new IllegalArgumentException("\"" + text + "\" is not an address of the form IP:PORT");
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("the port of \"" + text + "\" is not between 1 and " + MAX_PORT);
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("\"" + text + "\" is not an address", e);
        }
    }

    static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
