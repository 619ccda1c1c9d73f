package org.jujuberouter.platform;

/** The platform's header names. */
final class PlatformHeaders {
    /** The caller's id of one attempt; a retry of the caller has another one. */
    static final String ATTEMPT_ID = "X-Jujuberouter-Attempt-Id";

    /** How long the sender waits, in milliseconds from the sending on. */
    static final String DEADLINE_MS = "X-Jujuberouter-Deadline-Ms";

    /** The endpoint's id that must match; "instance" on the wire is an endpoint's run, not one of ours. */
    static final String EXPECTED_ENDPOINT = "X-Jujuberouter-Expect-Instance";

    /** The customer that holds the key, set by us. */
    static final String CUSTOMER = "X-Jujuberouter-Tenant";

    /** Tokens of the prompt and the most tokens of output, separated by a comma. */
    static final String TOKEN_USAGE = "X-Jujuberouter-Token-Usage";

    /** The endpoint's mark on its answers. */
    static final String SIGNATURE = "X-Jujuberouter-Response-Signature";

    /** Present where the endpoint did not run the request. */
    static final String NOT_EXECUTED = "X-Jujuberouter-Not-Executed";

    /** Endpoints that read parts of the prompt, as IP:PORT or IP:PORT/RESERVATION. */
    static final String HELPERS = "X-Jujuberouter-Helpers";

    /** How long the endpoint stays cold, in milliseconds. */
    static final String COLD_MS = "X-Jujuberouter-Cold-Ms";

    /** The id of the last event that the sender has. */
    static final String LAST_EVENT_ID = "Last-Event-Id";

    private PlatformHeaders() {}
}
