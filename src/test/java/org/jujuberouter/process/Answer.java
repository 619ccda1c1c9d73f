package org.jujuberouter.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.jujuberouter.misc.Json;

/**
 * A complete HTTP response as a caller received it.
 *
 * @param status the HTTP status
 * @param outcome the outcome header, or an empty string
 * @param body the complete body
 * @param replayed whether the answer is a stored result of an earlier call
 * @param durationMs time from sending the request to the end of the answer
 * @param longestGapMs longest time between two lines of the answer
 */
record Answer(int status, String outcome, String body, boolean replayed, long durationMs, long longestGapMs) {
    /** Returns the concatenated text of all events. */
    String text() throws IOException {
        StringBuilder text = new StringBuilder();
        for (String line : body.split("\n")) {
            if (line.startsWith("data: {")) {
                JsonNode event = Json.MAPPER.readTree(line.substring("data: ".length()));
                text.append(event.path("choices").path(0).path("text").asText());
            }
        }
        return text.toString();
    }

    /** Returns the error code in the body. */
    String code() throws IOException {
        return Json.MAPPER.readTree(body).path("error").path("code").asText();
    }

    /** Checks that every token arrived exactly once and in order, followed by the marker of the prompt. */
    void assertComplete(String marker, int tokens) throws IOException {
        StringBuilder expected = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            expected.append('t').append(i).append(' ');
        }
        assertEquals(200, status, body);
        assertEquals(expected + marker, text());
        assertTrue(
                body.endsWith("data: [DONE]\n\n"),
                () -> "the stream does not end with [DONE]: " + body.substring(body.length() - 100));
    }

    /** Checks that the call was refused with the given error and reported as not executed. */
    void assertRefused(int expectedStatus, String code) throws IOException {
        assertEquals(expectedStatus, status, body);
        assertEquals(code, code());
        assertEquals("not-run", outcome, body);
    }
}
