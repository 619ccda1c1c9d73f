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
 * A stand-in for the platform's list of instances and endpoints, which answers with the state of a configurable time ago.
 *
 * <p>Changes wait in order of arrival until they are as old as the lag; a read first applies those that are due.
 */
public final class ListServer implements MemberList, AutoCloseable {
    private static final String MEMBERS = "/v1/members";

    private final Ticker ticker;
    private final Deque<Change> pending = new ArrayDeque<>();
    private final Map<String, ListedMember> members = new TreeMap<>();
    private long lagNanos;
    private boolean away;
    private HttpServer server;

    private ListServer(Ticker ticker, Duration lag) {
        this.ticker = ticker;
        this.lagNanos = lag.toNanos();
    }

    /** Starts a list on a loopback port; 0 takes a free one. */
    public static ListServer start(int port, Duration lag) throws IOException {
        ListServer list = new ListServer(Ticker.system(), lag);
        list.server = PlatformReplies.serve(port, list::serve);
        return list;
    }

    /** Returns the base address. */
    public URI address() {
        return URI.create(PlatformReplies.hostAndPort(server));
    }

    /** Adds or replaces a member; readers see it after the lag. */
    public synchronized void put(ListedMember member) {
        pending.add(new Change(ticker.nanos(), member.name(), member));
    }

    /** Removes a member; readers see it after the lag. */
    public synchronized void remove(String name) {
        pending.add(new Change(ticker.nanos(), name, null));
    }

    /** Changes the lag and whether reads are refused with status 503. */
    public synchronized void disturb(Duration lag, boolean unavailable) {
        lagNanos = lag.toNanos();
        away = unavailable;
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

    private void serve(HttpExchange exchange) throws IOException {
        String method = exchange.getRequestMethod();
        String path = exchange.getRequestURI().getPath();
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (path.equals(MEMBERS) && method.equals("GET")) {
            if (isAway()) {
                PlatformReplies.reply(exchange, 503, "the list is unavailable");
            } else {
                PlatformReplies.replyJson(exchange, read());
            }
        } else if (path.equals("/fault") && method.equals("PUT")) {
            Map<String, String> query = PlatformReplies.query(exchange);
            boolean unavailable = query.getOrDefault("kind", "none").equals("unavailable");
            disturb(Duration.ofMillis(PlatformReplies.number(query, "lag-ms", 0)), unavailable);
            PlatformReplies.reply(exchange, 200, "");
        } else if (path.startsWith(MEMBERS + "/") && method.equals("PUT")) {
            put(parse(path.substring(MEMBERS.length() + 1), body));
            PlatformReplies.reply(exchange, 200, "");
        } else if (path.startsWith(MEMBERS + "/") && method.equals("DELETE")) {
            remove(path.substring(MEMBERS.length() + 1));
            PlatformReplies.reply(exchange, 200, "");
        } else {
            PlatformReplies.reply(exchange, 404, "no operation " + method + " " + path);
        }
    }

    private synchronized boolean isAway() {
        return away;
    }

    private static ListedMember parse(String name, byte[] body) {
        ListedMember member;
        try {
            member = PlatformReplies.JSON.readValue(body, ListedMember.class);
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
