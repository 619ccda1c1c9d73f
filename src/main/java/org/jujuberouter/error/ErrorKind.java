package org.jujuberouter.error;

/** Error kinds returned to callers, each with an error code, HTTP status, error type and message template. */
public enum ErrorKind {
    MALFORMED_BODY("malformed_body", 400, "invalid_request_error", "the request body is not valid: %s"),
    MISSING_PARAMETER("missing_parameter", 400, "invalid_request_error", "parameter \"%s\" is required"),
    INVALID_PARAMETER("invalid_parameter", 400, "invalid_request_error", "parameter \"%s\" is not valid: %s"),
    UNAUTHORIZED("unauthorized", 401, "authentication_error", "the Authorization header must name a known customer"),
    UNKNOWN_PATH("unknown_path", 404, "invalid_request_error", "no resource at %s"),
    UNKNOWN_MODEL("unknown_model", 404, "invalid_request_error", "model \"%s\" is not offered"),
    UNKNOWN_SERVICE("unknown_service", 404, "invalid_request_error", "service \"%s\" does not exist"),
    METHOD_NOT_ALLOWED("method_not_allowed", 405, "invalid_request_error", "method %s is not allowed at %s"),
    DUPLICATE_CALL(
            "duplicate_call", 409, "invalid_request_error", "a call with idempotency key \"%s\" already ran or runs"),
    PROMPT_TOO_LARGE(
            "prompt_too_large",
            413,
            "invalid_request_error",
            "%d tokens of prompt and answer do not fit any endpoint of model \"%s\"; the largest holds %d"),
    BODY_TOO_LARGE("body_too_large", 413, "invalid_request_error", "the body exceeds %d bytes"),
    KEY_REUSED("key_reused", 422, "invalid_request_error", "idempotency key \"%s\" was used with another body"),
    QUARANTINED(
            "quarantined", 422, "invalid_request_error", "this request crashed endpoints before and is quarantined"),
    LIMIT_EXCEEDED("limit_exceeded", 429, "rate_limit_error", "customer \"%s\" exceeds its limit of %s"),
    INTERNAL("internal", 500, "server_error", "internal error: %s"),
    ENDPOINT_FAILED("endpoint_failed", 502, "server_error", "endpoint %s failed: %s"),
    NO_CAPACITY("no_capacity", 503, "server_error", "no endpoint of \"%s\" can take the request before its deadline"),
    NOT_READY("not_ready", 503, "server_error", "this instance is not ready: %s"),
    STOPPING("stopping", 503, "server_error", "this instance is stopping"),
    STORE_UNAVAILABLE("store_unavailable", 503, "server_error", "the platform store did not confirm %s"),
    DEADLINE_EXCEEDED("deadline_exceeded", 504, "timeout_error", "the deadline of %d ms passed");

    private final String code;
    private final int status;
    private final String type;
    private final String template;

    ErrorKind(String code, int status, String type, String template) {
        this.code = code;
        this.status = status;
        this.type = type;
        this.template = template;
    }

    /** Returns the error code, which is stable across versions. */
    public String code() {
        return code;
    }

    public int status() {
        return status;
    }

    /** Returns the error type, as defined by the completions API. */
    public String type() {
        return type;
    }

    /** Returns the message template formatted with the given arguments. */
    public String message(Object... args) {
        return String.format(template, args);
    }
}
