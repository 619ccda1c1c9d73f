package org.jujuberouter.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Ranges of status codes (RFC 9110, section 15), which the codec does not check. */
final class StatusCodes {
    private static final int FIRST_INFORMATIONAL = 100;
    private static final int FIRST_FINAL = 200;
    private static final int LAST_FINAL = 599;

    private StatusCodes() {}

    /** Returns whether this is a response to a request and not a preliminary one. */
    static boolean isFinal(HttpResponse response) {
        int code = response.status().code();
        return code >= FIRST_FINAL && code <= LAST_FINAL;
    }

    /** Returns whether a response to the request follows; none does after a change of protocol. */
    static boolean isInformational(HttpResponse response) {
        int code = response.status().code();
        return code >= FIRST_INFORMATIONAL
                && code < FIRST_FINAL
                && code != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
    }
}
