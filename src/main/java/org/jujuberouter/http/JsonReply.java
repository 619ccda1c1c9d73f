package org.jujuberouter.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;

/** The outcome of a JSON call. */
public sealed interface JsonReply {
    /**
     * The server responded.
     *
     * @param status the HTTP status
     * @param headers the header fields
     * @param body the parsed body; a missing node if the response had none
     */
    record Response(int status, HttpHeaders headers, JsonNode body) implements JsonReply {}

    /**
     * No usable response was received; the call may have been executed nevertheless.
     *
     * @param address the address that was called
     * @param reason explanation for the log
     */
    record NoResponse(InetSocketAddress address, String reason) implements JsonReply {}

    /**
     * The response was larger than this client reads; the call was executed.
     *
     * @param limitBytes maximum size of a body, in bytes
     */
    record TooLarge(int limitBytes) implements JsonReply {}
}
