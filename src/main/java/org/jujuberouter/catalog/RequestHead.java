package org.jujuberouter.catalog;

import java.util.OptionalLong;
import org.jujuberouter.id.RequestId;

/**
 * What the head of a caller's request says.
 *
 * @param id the caller's id of this attempt
 * @param host the host that it names
 * @param path the path without the query
 * @param apiKey the key; empty where there is none
 * @param deadlineMs how long the caller waits from its sending on, in milliseconds
 * @param promptTokens tokens of the prompt; 0 for a call without a prompt
 * @param outputTokens the most tokens that may be generated
 * @param resumeAfter the id of the last event that the caller has; empty at the start of a stream
 */
public record RequestHead(
        RequestId id,
        String host,
        String path,
        String apiKey,
        OptionalLong deadlineMs,
        long promptTokens,
        long outputTokens,
        String resumeAfter) {}
