package org.jujuberouter.catalog;

import java.util.List;
import java.util.OptionalLong;
import org.jujuberouter.id.RequestId;

/**
 * The routing data of a request, taken from its request line and header fields.
 *
 * @param id the id that the caller gave to this attempt
 * @param host the host that the request names
 * @param path the path without the query
 * @param apiKey the API key; empty if the request has none
 * @param deadlineMs time that the caller waits after sending the request, in milliseconds
 * @param promptTokens length of the prompt in tokens; 0 for a request without a prompt
 * @param outputTokens maximum number of tokens to generate
 * @param sharedParts the ids of the parts of the prompt that other requests may share, in order; without the last part,
 *     which belongs to the request or its session
 * @param resumeAfter the id of the last event that the caller received; empty at the start of a stream
 */
public record RequestHead(
        RequestId id,
        String host,
        String path,
        String apiKey,
        OptionalLong deadlineMs,
        long promptTokens,
        long outputTokens,
        List<String> sharedParts,
        String resumeAfter) {
    /** Copies the list. */
    public RequestHead {
        sharedParts = List.copyOf(sharedParts);
    }
}
