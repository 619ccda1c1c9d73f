package org.jujuberouter.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * Relays the response of one call to its caller, from one endpoint or from several in turn.
 *
 * <p>The events of a stream are relayed whole as they arrive, so that another endpoint can continue it. A plain body is
 * buffered until it is complete; a large one is relayed as it arrives and cannot be continued.
 */
final class ResponseRelay {
    /** Largest response that is buffered until it is complete. */
    private static final int MAX_BUFFERED_BYTES = 256 << 10;

    private final CallerConnection caller;
    private final Runnable onSlowCaller;
    private HttpResponse head;
    private EventSplitter events;
    private ByteBuf bufferedBody;
    private boolean started;
    private boolean eventRelayed;

    private ResponseRelay(CallerConnection caller, Runnable onSlowCaller) {
        this.caller = caller;
        this.onSlowCaller = onSlowCaller;
    }

    /** Returns a relay that runs the given action when the caller reads more slowly than the response arrives. */
    static ResponseRelay to(CallerConnection caller, Runnable onSlowCaller) {
        return new ResponseRelay(caller, onSlowCaller);
    }

    /** Returns whether the caller has received a part of the response. */
    boolean hasStarted() {
        return started;
    }

    /** Returns whether another endpoint can continue or replace the response. */
    boolean canContinue() {
        return !started || events != null;
    }

    /** Returns the id of the last event that was relayed; empty if there is none. */
    String lastEventId() {
        return events == null ? "" : events.lastId();
    }

    int status() {
        return head.status().code();
    }

    /** Takes the head of the response; that of a stream is relayed at once. */
    void begin(HttpResponse response, boolean stream, String resumeAfter) {
        head = ConnectionHeaders.withoutThem(response);
        if (stream) {
            events = EventSplitter.after(resumeAfter);
            start();
        } else {
            bufferedBody = Unpooled.buffer(1024);
        }
    }

    private void start() {
        started = true;
        HttpUtil.setTransferEncodingChunked(head, true);
        caller.writeHead(head);
    }

    /** Relays or buffers a piece of the body; returns whether it completed at least one event. */
    boolean relay(ByteBuf piece) throws MalformedResponseException {
        if (events != null) {
            ByteBuf complete = events.feed(piece);
            if (complete.isReadable()) {
                eventRelayed = true;
                write(complete);
                return true;
            }
        } else if (started) {
            write(piece.copy());
        } else {
            bufferedBody.writeBytes(piece);
            if (bufferedBody.readableBytes() > MAX_BUFFERED_BYTES) {
                start();
                write(bufferedBody);
                bufferedBody = null;
            }
        }
        return false;
    }

    private void write(ByteBuf part) {
        if (!caller.writeChunk(part)) {
            onSlowCaller.run();
        }
    }

    /**
     * Returns whether a response that has ended is a stream that was broken off: within an event, or before the first one.
     * A stream without a length ends with its connection, also when its endpoint fails.
     */
    boolean isBrokenOff() {
        return events != null
                && (events.hasPartialEvent() || !eventRelayed && events.lastId().isEmpty());
    }

    /** Discards what cannot be relayed because its endpoint failed. */
    void discardIncomplete() {
        if (events != null) {
            events.discardPartialEvent();
        }
        bufferedBody = null;
    }

    /** Relays the rest of a complete response. */
    void complete() {
        if (!started) {
            DefaultFullHttpResponse complete =
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, head.status(), bufferedBody);
            complete.headers().set(head.headers());
            HttpUtil.setContentLength(complete, bufferedBody.readableBytes());
            caller.writeResponse(complete);
            return;
        }
        caller.endResponse();
    }
}
