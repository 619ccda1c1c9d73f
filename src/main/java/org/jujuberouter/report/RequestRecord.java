package org.jujuberouter.report;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * The result of one request, written as one line of JSON to a recorded run or an access log.
 *
 * <p>Times are measured from the intended start, so that they include delays before the request was sent. A time that
 * does not apply is -1: the first token if none arrived, or the gap of a response with fewer than two events.
 *
 * @param t the intended start in milliseconds since 1970
 * @param customer the customer
 * @param service the service or model
 * @param kind {@code stream}, {@code completion}, {@code post} or {@code get}
 * @param prompt the prompt tokens
 * @param answer the response tokens that arrived
 * @param status the HTTP status, or 0 without a response
 * @param outcome the outcome stated in the response, or {@code unknown} if none arrived
 * @param fault {@code none}, the error code, or the failure that the check of the response found
 * @param firstMs the time to the first token
 * @param gapMs the 95th percentile of the times between the response's events
 * @param totalMs the time to the end of the response
 */
@JsonInclude(JsonInclude.Include.ALWAYS)
public record RequestRecord(
        long t,
        String customer,
        String service,
        String kind,
        long prompt,
        long answer,
        int status,
        String outcome,
        String fault,
        double firstMs,
        double gapMs,
        double totalMs) {
    /** The value of {@code fault} for a successful request. */
    public static final String NO_FAULT = "none";

    private static final ObjectMapper JSON =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** Returns whether the complete and correct response arrived. */
    public boolean succeeded() {
        return status >= 200 && status < 300 && fault.equals(NO_FAULT);
    }

    /** Returns the record as one line of JSON without a line break. */
    public String toJson() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("could not serialize the request record", e);
        }
    }

    /** Parses a line of JSON; the line number appears in error messages. */
    public static RequestRecord parse(String line, long number) throws ReportException {
        RequestRecord record;
        try {
            record = JSON.readValue(line, RequestRecord.class);
        } catch (JsonProcessingException e) {
            throw ReportException.of("line " + number + " is not a request record: " + e.getOriginalMessage());
        }
        if (record == null || record.customer == null || record.service == null || record.t <= 0) {
            throw ReportException.of("line " + number + " lacks t, customer or service");
        }
        return record.fault == null || record.outcome == null ? record.withDefaults() : record;
    }

    private RequestRecord withDefaults() {
        String knownOutcome = outcome == null ? "unknown" : outcome;
        String knownFault = fault == null ? NO_FAULT : fault;
        return new RequestRecord(
                t, customer, service, kind, prompt, answer, status, knownOutcome, knownFault, firstMs, gapMs, totalMs);
    }
}
