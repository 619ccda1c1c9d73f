package org.jujuberouter.platform;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.jujuberouter.catalog.RequestHead;
import org.jujuberouter.gateway.CallCodec;
import org.jujuberouter.gateway.MalformedRequestException;
import org.jujuberouter.id.RequestId;

/** Encodes and decodes calls and responses with the platform's HTTP headers. */
public final class PlatformCallCodec implements CallCodec {
    /** Status of an endpoint that is not the one that a call expects. */
    static final int MISDIRECTED_REQUEST = 421;

    /** Statuses by which callers know that a call has not run and never will, whoever answers with them. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(
            HttpResponseStatus.REQUEST_TIMEOUT.code(),
            MISDIRECTED_REQUEST,
            HttpResponseStatus.TOO_MANY_REQUESTS.code(),
            HttpResponseStatus.SERVICE_UNAVAILABLE.code());

    private static final String BEARER = "Bearer ";
    private static final String LEAVING = "1";

    /** A number of seconds; dates, signs and exponents are not used between instances and endpoints. */
    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,12}(\\.[0-9]{1,12})?");

    /** Longest pause that is believed; an endpoint that is gone for longer is registered anew. */
    private static final long MAX_PAUSE_MS = 600_000;

    /** Number of parts of a prompt that are taken into account, so that a caller cannot make this state grow. */
    private static final int MAX_SHARED_PARTS = 16;

    private static final String PART_ID = "[0-9a-fA-F]{1,64}";

    /** Hop-by-hop headers (RFC 9110, section 7.6.1), in addition to those that the Connection header names. */
    private static final List<String> HOP_BY_HOP_HEADERS = List.of(
            "connection", "keep-alive", "proxy-connection", "transfer-encoding", "te", "trailer", "upgrade", "expect");

    private PlatformCallCodec() {}

    /** Returns a new codec. */
    public static PlatformCallCodec create() {
        return new PlatformCallCodec();
    }

    @Override
    public RequestHead read(HttpRequest head) throws MalformedRequestException {
        HttpHeaders h = head.headers();
        String id = h.get(PlatformHeaders.ATTEMPT_ID, "");
        if (id.isBlank()) {
            throw MalformedRequestException.of(PlatformHeaders.ATTEMPT_ID + " is missing");
        }
        String host = h.get(HttpHeaderNames.HOST, "");
        String[] usage = h.get(PlatformHeaders.TOKEN_USAGE, "0,0").split(",");
        if (usage.length != 2) {
            throw MalformedRequestException.of(PlatformHeaders.TOKEN_USAGE + " is not two numbers");
        }
        String authorization = h.get(HttpHeaderNames.AUTHORIZATION, "");
        String deadline = h.get(PlatformHeaders.DEADLINE_MS, "");
        int query = head.uri().indexOf('?');
        return new RequestHead(
                RequestId.of(id),
                host.contains(":") ? host.substring(0, host.indexOf(':')) : host,
                query < 0 ? head.uri() : head.uri().substring(0, query),
                authorization.regionMatches(true, 0, BEARER, 0, BEARER.length())
                        ? authorization.substring(BEARER.length()).strip()
                        : "",
                deadline.isBlank()
                        ? OptionalLong.empty()
                        : OptionalLong.of(number(PlatformHeaders.DEADLINE_MS, deadline)),
                number(PlatformHeaders.TOKEN_USAGE, usage[0]),
                number(PlatformHeaders.TOKEN_USAGE, usage[1]),
                sharedParts(h.get(PlatformHeaders.PREFIX_HASH, "")),
                h.get(PlatformHeaders.LAST_EVENT_ID, ""));
    }

    @Override
    public FullHttpRequest write(HttpRequest head, ByteBuf body, Attempt attempt) {
        FullHttpRequest out =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), body.retainedDuplicate());
        HttpHeaders h = out.headers();
        h.set(head.headers());
        removeHopByHopHeaders(h, head.headers().getAll(HttpHeaderNames.CONNECTION));
        h.remove(HttpHeaderNames.AUTHORIZATION);
        h.remove(PlatformHeaders.CUSTOMER);
        h.remove(PlatformHeaders.HELPERS);
        h.set(PlatformHeaders.EXPECTED_ENDPOINT, attempt.endpoint().id().value());
        h.set(PlatformHeaders.DEADLINE_MS, attempt.remainingMs());
        attempt.customer().ifPresent(c -> h.set(PlatformHeaders.CUSTOMER, c.value()));
        if (!attempt.resumeAfter().isEmpty()) {
            h.set(PlatformHeaders.LAST_EVENT_ID, attempt.resumeAfter());
        }
        if (!attempt.helpers().isEmpty()) {
            h.set(
                    PlatformHeaders.HELPERS,
                    attempt.helpers().stream().map(PlatformCallCodec::format).collect(Collectors.joining(",")));
        }
        if (body.isReadable() || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            h.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        return out;
    }

    @Override
    public Answer read(HttpResponse head) {
        HttpHeaders h = head.headers();
        int status = head.status().code();
        String cold = h.get(PlatformHeaders.COLD_MS, "");
        return new Answer(
                status,
                h.get(PlatformHeaders.ATTEMPT_ID, ""),
                h.contains(PlatformHeaders.SIGNATURE),
                h.contains(PlatformHeaders.NOT_EXECUTED) || status == MISDIRECTED_REQUEST,
                NOT_RUN_STATUSES.contains(status),
                status == MISDIRECTED_REQUEST,
                cold.matches("[0-9]{1,9}") ? OptionalLong.of(Long.parseLong(cold)) : OptionalLong.empty(),
                LEAVING.equals(h.get(PlatformHeaders.LEAVING)),
                status == HttpResponseStatus.SERVICE_UNAVAILABLE.code() ? pauseMs(h) : 0);
    }

    /** Returns the longest time in the Retry-After headers, in milliseconds; 0 without a valid number of seconds. */
    private static long pauseMs(HttpHeaders h) {
        long longest = 0;
        for (String seconds : h.getAll(HttpHeaderNames.RETRY_AFTER)) {
            if (SECONDS.matcher(seconds.strip()).matches()) {
                longest = Math.max(longest, Math.round(Double.parseDouble(seconds.strip()) * 1_000));
            }
        }
        return Math.min(longest, MAX_PAUSE_MS);
    }

    @Override
    public void writeRefusal(HttpHeaders headers, Optional<RequestId> id, OptionalLong retryAfterMs) {
        id.ifPresent(i -> headers.set(PlatformHeaders.ATTEMPT_ID, i.value()));
        // The platform's callers accept fractions of a second.
        retryAfterMs.ifPresent(
                ms -> headers.set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", ms / 1000.0)));
    }

    private static String format(Helper helper) {
        String address = Addresses.format(helper.endpoint().address());
        return helper.reservation().isEmpty() ? address : address + "/" + helper.reservation();
    }

    private static void removeHopByHopHeaders(HttpHeaders h, List<String> connectionOptions) {
        HOP_BY_HOP_HEADERS.forEach(h::remove);
        for (String list : connectionOptions) {
            for (String name : list.split(",")) {
                h.remove(name.strip());
            }
        }
    }

    /** Returns the ids of all parts but the last; ids that are not hexadecimal are left out. */
    private static List<String> sharedParts(String header) {
        String[] parts = header.split(",");
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < Math.min(parts.length - 1, MAX_SHARED_PARTS); i++) {
            String id = parts[i].strip().split(":")[0];
            if (id.matches(PART_ID)) {
                ids.add(id);
            }
        }
        return ids;
    }

    private static long number(String header, String text) throws MalformedRequestException {
        try {
            return Long.parseLong(text.strip());
        } catch (NumberFormatException e) {
            throw MalformedRequestException.of(header + ": \"" + text + "\" is not a whole number");
        }
    }
}
