package org.jujuberouter.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import org.jujuberouter.misc.Json;

/**
 * What a caller got.
 *
 * @param status the HTTP status
 * @param outcome the outcome header, or an empty text
 * @param body the whole body
 * @param replayed whether the answer is a stored one
 * @param millis time from the request to the end of the answer
 * @param longestGapMillis longest time between two lines of the answer
 */
record Answer(int status, String outcome, String body, boolean replayed, long millis, long longestGapMillis) {
    /** Returns the text of all events in order. */
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

    /** Returns the code of the error in the body. */
    String code() throws IOException {
        return Json.MAPPER.readTree(body).path("error").path("code").asText();
    }

    /** Checks that every word is there once and in order, and that the answer belongs to the prompt. */
    void assertWhole(String marker, int tokens) throws IOException {
        StringBuilder expected = new StringBuilder();
        for (int i = 0; i < tokens; i++) {
            expected.append('t').append(i).append(' ');
        }
        assertEquals(200, status, body);
        assertEquals(expected + marker, text());
        assertTrue(body.endsWith("data: [DONE]\n\n"), () -> "no end marker: " + body.substring(body.length() - 100));
    }

    /** Checks that the call was refused before anything ran. */
    void assertRefused(int expectedStatus, String code) throws IOException {
        assertEquals(expectedStatus, status, body);
        assertEquals(code, code());
        assertEquals("not-run", outcome, body);
    }
}
