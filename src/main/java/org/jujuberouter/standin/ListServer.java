package org.jujuberouter.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.store.ListedMember;
import org.jujuberouter.store.MemberList;

/**
 * A stand-in for the platform's list of instances and endpoints; reads return changes after a configurable lag.
 *
 * <p>Changes are queued in order of arrival; a read first applies those that are at least as old as the lag.
 */
public final class ListServer implements MemberList, AutoCloseable {
    private static final String MEMBERS = "/v1/members";

    private final Ticker ticker;
    private final Deque<Change> pending = new ArrayDeque<>();
    private final Map<String, ListedMember> members = new TreeMap<>();
    private long lagNanos;
    private boolean outage;
    private HttpServer server;

    private ListServer(Ticker ticker, Duration lag) {
        this.ticker = ticker;
        this.lagNanos = lag.toNanos();
    }

    /** Starts a list on a loopback port; 0 selects a free port. */
    public static ListServer start(int port, Duration lag) throws IOException {
        ListServer list = new ListServer(Ticker.system(), lag);
        list.server = StandinHttp.startServer(port, list::handle);
        return list;
    }

    /** Returns the base address. */
    public URI address() {
        return URI.create(StandinHttp.baseAddress(server));
    }

    /** Adds or replaces a member; reads return the change after the lag. */
    public synchronized void put(ListedMember member) {
        pending.add(new Change(ticker.nanos(), member.name(), member));
    }

    /** Removes a member; reads return the change after the lag. */
    public synchronized void remove(String name) {
        pending.add(new Change(ticker.nanos(), name, null));
    }

    /** Sets the lag and whether reads over HTTP are answered with status 503. */
    public synchronized void setFault(Duration lag, boolean unavailable) {
        lagNanos = lag.toNanos();
        outage = unavailable;
    }

    @Override
    public synchronized List<ListedMember> read() {
        long now = ticker.nanos();
        while (!pending.isEmpty() && now - pending.peekFirst().atNanos() >= lagNanos) {
            Change due = pending.removeFirst();
            if (due.member() == null) {
                members.remove(due.name());
            } else {
                members.put(due.name(), due.member());
            }
        }
        return new ArrayList<>(members.values());
    }

    @Override
    public void close() {
        server.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String method = exchange.getRequestMethod();
        String path = exchange.getRequestURI().getPath();
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (path.equals(MEMBERS) && method.equals("GET")) {
            if (isOutage()) {
                StandinHttp.reply(exchange, 503, "the list is unavailable");
            } else {
                StandinHttp.replyJson(exchange, read());
            }
        } else if (path.equals("/fault") && method.equals("PUT")) {
            Map<String, String> query = StandinHttp.queryParameters(exchange);
            boolean unavailable = query.getOrDefault("kind", "none").equals("unavailable");
            setFault(Duration.ofMillis(StandinHttp.longParameter(query, "lag-ms", 0)), unavailable);
            StandinHttp.reply(exchange, 200, "");
        } else if (path.startsWith(MEMBERS + "/") && method.equals("PUT")) {
            put(parseMember(path.substring(MEMBERS.length() + 1), body));
            StandinHttp.reply(exchange, 200, "");
        } else if (path.startsWith(MEMBERS + "/") && method.equals("DELETE")) {
            remove(path.substring(MEMBERS.length() + 1));
            StandinHttp.reply(exchange, 200, "");
        } else {
            StandinHttp.reply(exchange, 404, "no operation " + method + " " + path);
        }
    }

    private synchronized boolean isOutage() {
        return outage;
    }

    private static ListedMember parseMember(String name, byte[] body) {
        ListedMember member;
        try {
            member = StandinHttp.JSON.readValue(body, ListedMember.class);
        } catch (IOException e) {
            throw new IllegalArgumentException("the body is not a member: " + e.getMessage(), e);
        }
        if (!name.equals(member.name())) {
            throw new IllegalArgumentException("the path names \"" + name + "\", the body \"" + member.name() + "\"");
        }
        return member;
    }

    private record Change(long atNanos, String name, ListedMember member) {}
}
