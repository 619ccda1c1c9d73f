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

/** HTTP helpers that the stand-ins share. */
final class StandinHttp {
    static final ObjectMapper JSON = new ObjectMapper();

    private static final int BACKLOG = 1024;

    private StandinHttp() {}

    /** Starts a server on a loopback port with one virtual thread per exchange; port 0 selects a free port. */
    static HttpServer startServer(int port, HttpHandler handler) throws IOException {
        // Disables Nagle's algorithm: the server writes header and body separately, and delayed TCP acknowledgements of
        // 40 ms would hold back the second write.
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

    static String baseAddress(HttpServer server) {
        return "http://127.0.0.1:" + server.getAddress().getPort();
    }

    /** Returns the query parameters of the request; one without a value has an empty string. */
    static Map<String, String> queryParameters(HttpExchange exchange) {
        Map<String, String> parameters = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw == null) {
            return parameters;
        }
        for (String pair : raw.split("&")) {
            int separator = pair.indexOf('=');
            String value =
                    separator < 0 ? "" : URLDecoder.decode(pair.substring(separator + 1), StandardCharsets.UTF_8);
            parameters.put(separator < 0 ? pair : pair.substring(0, separator), value);
        }
        return parameters;
    }

    static long longParameter(Map<String, String> queryParameters, String name, long defaultValue) {
        String text = queryParameters.get(name);
        if (text == null) {
            return defaultValue;
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
