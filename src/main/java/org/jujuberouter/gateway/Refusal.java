package org.jujuberouter.gateway;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import org.jujuberouter.id.RequestId;

/** Error responses that an instance generates itself. */
final class Refusal {
    private Refusal() {}

    /**
     * Returns an error response.
     *
     * @param reason explanation for people, sent as the body
     * @param id id of the call; empty if it could not be read
     * @param retryAfterMs time after which the caller may return, in milliseconds; negative to state none
     */
    static FullHttpResponse of(CallCodec codec, int status, String reason, Optional<RequestId> id, long retryAfterMs) {
        byte[] text = (reason + "\n").getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(text));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
        codec.writeRefusal(
                response.headers(), id, retryAfterMs < 0 ? OptionalLong.empty() : OptionalLong.of(retryAfterMs));
        return response;
    }
}
