package org.jujuberouter.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Decodes the requests of a connection and bounds their heads by the limit in force.
 *
 * <p>The bounds of a codec are fixed when it is created, but a connection outlives a change of the configuration. So the
 * codec has none, and the limit is read for each head: bytes from which the codec has not decoded anything are counted,
 * and a decoded head is measured. As with the bounds of the codec, the limit holds for the request line and for the header
 * fields, each by itself. What exceeds it is passed on as a request that could not be decoded, as the codec does.
 */
final class RequestHeadLimit {
    private static final int MAX_CHUNK_BYTES = 16_384;

    /** Bytes of a header field besides its name and value: colon, space and line end. */
    private static final int FIELD_OVERHEAD_BYTES = 4;

    private final IntSupplier maxBytes;
    private long undecodedBytes;
    private boolean exceeded;

    private RequestHeadLimit(IntSupplier maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Adds the codec of a server to a pipeline, with a limit that may change at any time. */
    static void addCodec(ChannelPipeline pipeline, IntSupplier maxBytes) {
        RequestHeadLimit limit = new RequestHeadLimit(maxBytes);
        MessageFilter messages = limit.new MessageFilter();
        pipeline.addLast(limit.new ByteCounter(messages))
                .addLast(new HttpServerCodec(Integer.MAX_VALUE, Integer.MAX_VALUE, MAX_CHUNK_BYTES))
                .addLast(messages);
    }

    private boolean exceedsLimit(HttpRequest request) {
        int max = maxBytes.getAsInt();
        long line = (long) request.method().name().length() + 1 + request.uri().length();
        long fields = 0;
        for (Map.Entry<String, String> field : request.headers()) {
            fields += field.getKey().length() + field.getValue().length() + FIELD_OVERHEAD_BYTES;
        }
        return line > max || fields > max;
    }

    private HttpRequest undecodable() {
        exceeded = true;
        HttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_0, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER);
        request.setDecoderResult(DecoderResult.failure(new TooLongHttpHeaderException(
                "the request line or the header is larger than " + maxBytes.getAsInt() + " bytes")));
        return request;
    }

    /** Counts the bytes before the codec, which keeps those of an incomplete head. */
    private final class ByteCounter extends ChannelInboundHandlerAdapter {
        private final MessageFilter messages;

        private ByteCounter(MessageFilter messages) {
            this.messages = messages;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (exceeded) {
                ReferenceCountUtil.release(bytes);
                return;
            }
            undecodedBytes += ((ByteBuf) bytes).readableBytes();
            ctx.fireChannelRead(bytes);
            if (!exceeded && undecodedBytes > 2L * maxBytes.getAsInt()) {
                messages.context.fireChannelRead(undecodable());
            }
        }
    }

    /** Measures the heads behind the codec. */
    private final class MessageFilter extends ChannelInboundHandlerAdapter {
        private ChannelHandlerContext context;

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            context = ctx;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            undecodedBytes = 0;
            if (exceeded) {
                ReferenceCountUtil.release(message);
            } else if (message instanceof HttpRequest request
                    && request.decoderResult().isSuccess()
                    && exceedsLimit(request)) {
                ReferenceCountUtil.release(message);
                ctx.fireChannelRead(undecodable());
            } else {
                ctx.fireChannelRead(message);
            }
        }
    }
}
