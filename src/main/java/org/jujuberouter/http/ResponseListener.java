package org.jujuberouter.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Receives the response to a {@link ClientCall} on its event loop; {@code onEnd} or {@code onFailure} is the last
 * callback.
 */
public interface ResponseListener {
    /** Receives the head of a response; returns whether the response belongs to the call, otherwise it is skipped. */
    boolean onHead(HttpResponse head);

    /** Receives a chunk of the body; the buffer is valid only during the callback. */
    void onBody(ByteBuf chunk);

    /** Called when the response is complete. */
    void onEnd();

    /** Called when the response cannot be completed. */
    void onFailure(CallFailure failure);
}
