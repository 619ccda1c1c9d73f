package org.jujuberouter.report;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * How one request went, as one line of JSON in a recorded run or an access log.
 *
 * <p>Times count from the intended start, so that waiting before the request was sent is part of them. A time that does
 * not apply is -1: a first token that never came, or gaps of an answer with fewer than two events.
 *
 * @param t the intended start in milliseconds since 1970
 * @param customer the customer
 * @param service the service or model
 * @param kind {@code stream}, {@code completion}, {@code post} or {@code get}
 * @param prompt the prompt tokens
 * @param answer the answer tokens that arrived
 * @param status the HTTP status, or 0 without an answer
 * @param outcome the stated outcome, or {@code unknown} when none arrived
 * @param fault {@code none}, the error code, or what the check of the answer found
 * @param firstMs the time to the first token
 * @param gapMs the 95th percentile of the times between the answer's events
 * @param totalMs the time to the end
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
    /** The fault of a request without one. */
    public static final String NO_FAULT = "none";

    private static final ObjectMapper JSON =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** Tells whether the whole answer arrived and was right. */
    public boolean succeeded() {
        return status >= 200 && status < 300 && fault.equals(NO_FAULT);
    }

    /** Returns the record as one line without its line break. */
    public String toJson() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of plain values must be writable", e);
        }
    }

    /** Returns the record in the line; the line number appears in the error. */
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
