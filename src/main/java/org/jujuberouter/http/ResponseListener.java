package org.jujuberouter.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives what happens to one {@link ClientCall}, on its event loop; nothing follows {@code onEnd} or {@code onFailure}. */
public interface ResponseListener {
    /** Takes the head of an answer and tells whether it belongs to the call; an answer that does not is skipped. */
    boolean onHead(HttpResponse head);

    /** Takes a piece of the body; the buffer is valid during the call only. */
    void onBody(ByteBuf chunk);

    /** The answer is whole. */
    void onEnd();

    /** The answer will not become whole. */
    void onFailure(CallFailure failure);
}
