package org.jujuberouter.gateway;

import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** The headers of a response that concern only the connection on which it was received. */
final class ConnectionHeaders {
    private static final List<CharSequence> NAMES = List.of(
            HttpHeaderNames.CONNECTION,
            "Keep-Alive",
            HttpHeaderNames.TRANSFER_ENCODING,
            HttpHeaderNames.CONTENT_LENGTH);

    private ConnectionHeaders() {}

    /** Returns a copy of the head without these headers, for another connection. */
    static HttpResponse withoutThem(HttpResponse response) {
        HttpResponse copy = new DefaultHttpResponse(HttpVersion.HTTP_1_1, response.status());
        copy.headers().set(response.headers());
        NAMES.forEach(copy.headers()::remove);
        return copy;
    }
}
