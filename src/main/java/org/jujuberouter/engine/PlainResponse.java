package org.jujuberouter.engine;

/**
 * The whole answer of a plain service.
 *
 * @param status the HTTP status
 * @param contentType the type of the body
 * @param body the body
 */
public record PlainResponse(int status, String contentType, byte[] body) {}
