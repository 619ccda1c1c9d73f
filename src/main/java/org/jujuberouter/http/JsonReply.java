package org.jujuberouter.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;

/**
 * The outcome of one JSON call.
 */
public sealed interface JsonReply {
    /**
     * The other side answered.
     *
     * @param status the HTTP status
     * @param body the parsed body; a missing node where there was none
     */
    record Response(int status, JsonNode body) implements JsonReply {}

    /**
     * No answer came; the call may have been carried out all the same.
     *
     * @param to the address that was called
     * @param reason a sentence for the log
     */
    record NoResponse(InetSocketAddress to, String reason) implements JsonReply {}
}
