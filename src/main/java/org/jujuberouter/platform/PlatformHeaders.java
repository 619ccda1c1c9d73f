package org.jujuberouter.platform;

/** Names of the platform's HTTP headers. */
final class PlatformHeaders {
    /** Id of one attempt of the caller; each retry by the caller has a new id. */
    static final String ATTEMPT_ID = "X-Jujuberouter-Attempt-Id";

    /** How long the sender waits for the response, in milliseconds after sending. */
    static final String DEADLINE_MS = "X-Jujuberouter-Deadline-Ms";

    /** Id that the endpoint must match; "instance" here means a run of an endpoint, not a router instance. */
    static final String EXPECTED_ENDPOINT = "X-Jujuberouter-Expect-Instance";

    /** The authenticated customer; set by this router, never taken from the caller. */
    static final String CUSTOMER = "X-Jujuberouter-Tenant";

    /** Prompt tokens and maximum output tokens, separated by a comma. */
    static final String TOKEN_USAGE = "X-Jujuberouter-Token-Usage";

    /** The parts of the prompt in order, each as ID:TOKENS; the last one belongs to the request or its session. */
    static final String PREFIX_HASH = "X-Jujuberouter-Prefix-Hash";

    /** Signature of the endpoint on its response. */
    static final String SIGNATURE = "X-Jujuberouter-Response-Signature";

    /** Present if the endpoint did not run the request. */
    static final String NOT_EXECUTED = "X-Jujuberouter-Not-Executed";

    /** Endpoints that prefill parts of the prompt, each as IP:PORT or IP:PORT/RESERVATION. */
    static final String HELPERS = "X-Jujuberouter-Helpers";

    /** Remaining cold-start time of the endpoint, in milliseconds. */
    static final String COLD_MS = "X-Jujuberouter-Cold-Ms";

    /** Present with the value 1 if the endpoint is shutting down and takes no new requests. */
    static final String LEAVING = "Server-Leaving";

    /** Id of the last stream event that the sender has received. */
    static final String LAST_EVENT_ID = "Last-Event-Id";

    /** Name of the instance that makes a call that only one at a time may make. */
    static final String LEASE_HOLDER = "X-Jujuberouter-Lease-Holder";

    /** Token of the term in which the call is made; the platform refuses lower ones than it has seen. */
    static final String FENCING_TOKEN = "X-Jujuberouter-Fencing-Token";

    /** Number of restorations of the store from a copy so far, in all its answers. */
    static final String STORE_ERA = "Store-Era";

    private PlatformHeaders() {}
}
