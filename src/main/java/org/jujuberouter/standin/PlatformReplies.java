package org.jujuberouter.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** HTTP helpers shared by the stand-ins of the store and the list. */
final class PlatformReplies {
    static final ObjectMapper JSON = new ObjectMapper();

    private static final int BACKLOG = 1024;

    private PlatformReplies() {}

    /** Starts a server on a loopback port (0 for a free one) with one virtual thread for each exchange. */
    static HttpServer serve(int port, HttpHandler handler) throws IOException {
        // Without this the server's separate writes of header and body meet delayed acknowledgements of 40 ms.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), BACKLOG);
        server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
        server.createContext("/", exchange -> {
            try (exchange) {
                handler.handle(exchange);
            } catch (IllegalArgumentException e) {
                reply(exchange, 400, e.getMessage());
            }
        });
        server.start();
        return server;
    }

    static String hostAndPort(HttpServer server) {
        return "http://127.0.0.1:" + server.getAddress().getPort();
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> found = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw == null) {
            return found;
        }
        for (String part : raw.split("&")) {
            int eq = part.indexOf('=');
            String value = eq < 0 ? "" : URLDecoder.decode(part.substring(eq + 1), StandardCharsets.UTF_8);
            found.put(eq < 0 ? part : part.substring(0, eq), value);
        }
        return found;
    }

    static long number(Map<String, String> query, String name, long absent) {
        String text = query.get(name);
        if (text == null) {
            return absent;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "parameter \"" + name + "\" must be a whole number, not \"" + text + "\"", e);
        }
    }

    static void reply(HttpExchange exchange, int status, String text) throws IOException {
        reply(exchange, status, text.getBytes(StandardCharsets.UTF_8));
    }

    static void replyJson(HttpExchange exchange, Object value) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        reply(exchange, 200, JSON.writeValueAsBytes(value));
    }

    static void reply(HttpExchange exchange, int status, byte[] body) throws IOException {
        boolean empty = body.length == 0 || status == 304;
        exchange.sendResponseHeaders(status, empty ? -1 : body.length);
        if (!empty) {
            exchange.getResponseBody().write(body);
        }
    }
}
