package org.jujuberouter.engine;

/**
 * The complete response of a plain service.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the body, possibly empty
 */
public record PlainResponse(int status, String contentType, byte[] body) {}
