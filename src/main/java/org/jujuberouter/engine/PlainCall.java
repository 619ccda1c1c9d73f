package org.jujuberouter.engine;

import org.jujuberouter.id.IdempotencyKey;
import org.jujuberouter.id.RequestId;

/**
 * A call to a plain service.
 *
 * @param attempt the id of the attempt
 * @param method the HTTP method
 * @param path the path and query at the endpoint, without the prefix of the service
 * @param contentType the media type of the body, or null
 * @param key the caller's idempotency key, or null
 * @param body the body, possibly empty
 */
public record PlainCall(
        RequestId attempt, String method, String path, String contentType, IdempotencyKey key, byte[] body) {}
