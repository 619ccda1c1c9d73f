package org.jujuberouter.outcome;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/**
 * The stored JSON form of the record of a keyed call. Fields added by later versions are ignored, so that versions can
 * run side by side.
 */
@JsonIgnoreProperties(ignoreUnknown = true)
@JsonInclude(JsonInclude.Include.NON_NULL)
record IdempotencyRecord(
        String attempt, String bodyHash, State state, Integer status, String contentType, byte[] body) {
    enum State {
        @JsonProperty("started")
        STARTED,
        @JsonProperty("finished")
        FINISHED,
        @JsonProperty("not-run")
        NOT_RUN
    }

    private static final ObjectMapper MAPPER = new ObjectMapper();

    static IdempotencyRecord of(String attempt, String bodyHash, State state) {
        return new IdempotencyRecord(attempt, bodyHash, state, null, null, null);
    }

    static IdempotencyRecord finished(String attempt, String bodyHash, StoredResult result) {
        byte[] body = result.body().length <= StoredResult.MAX_BODY_BYTES ? result.body() : null;
        return new IdempotencyRecord(attempt, bodyHash, State.FINISHED, result.status(), result.contentType(), body);
    }

    static IdempotencyRecord parse(byte[] json) throws IOException {
        IdempotencyRecord record = MAPPER.readValue(json, IdempotencyRecord.class);
        if (record.attempt == null || record.bodyHash == null || record.state == null) {
            throw new IOException("the idempotency record lacks attempt, bodyHash or state");
        }
        return record;
    }

    byte[] toJson() {
        try {
            return MAPPER.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("failed to serialize an idempotency record", e);
        }
    }
}
