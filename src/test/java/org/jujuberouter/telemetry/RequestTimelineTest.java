package org.jujuberouter.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a story that leaves out what explains a failed request, or tells what does not concern it. */
class RequestTimelineTest {
    private final RequestTimeline story = RequestTimeline.empty();

    private void line(int second, String instance, String rest) {
        story.addLine(
                "12.5 collector {\"time\":\"2026-01-01T00:00:%02d.000Z\",\"level\":\"WARNING\",\"instance\":\"%s\",%s}"
                        .formatted(second, instance, rest));
    }

    private void lineOfRequest(int second, String instance, String event, String request, String endpoint) {
        line(
                second,
                instance,
                "\"part\":\"call\",\"event\":\"%s\",\"request\":\"%s\",\"endpoint\":\"%s\""
                        .formatted(event, request, endpoint));
    }

    @Test
    void tellsTheLinesOfTheRequestInOrderOfTime() {
        lineOfRequest(12, "one", "refused", "r1", "e1");
        lineOfRequest(10, "one", "sent", "r1", "e1");
        List<String> told = story.render("r1").orElseThrow().lines().toList();
        assertEquals(2, told.size());
        assertTrue(told.getFirst().contains("sent"), told.getFirst());
        assertTrue(told.getLast().startsWith("*    +2.000 s"), told.getLast());
    }

    @Test
    void tellsFailuresOfOtherCallsAtTheSameEndpointAndWhatTheInstanceBelieved() {
        lineOfRequest(10, "one", "sent", "r1", "e1");
        lineOfRequest(11, "two", "attempt failed", "r2", "e1");
        lineOfRequest(11, "two", "attempt failed", "r3", "e2");
        line(9, "one", "\"part\":\"state\",\"event\":\"store lost\"");
        line(9, "two", "\"part\":\"state\",\"event\":\"peer lost\"");
        lineOfRequest(12, "one", "refused", "r1", "e1");
        String told = story.render("r1").orElseThrow();
        assertTrue(told.contains("(request r2)"), told);
        assertTrue(told.contains("store lost"), told);
        assertFalse(told.contains("r3") || told.contains("peer lost"), told);
    }

    @Test
    void saysThatNoLineNamesTheRequestAndCountsLinesThatCannotBeRead() {
        story.addLine("{\"time\":\"not a time\"}");
        story.addLine("{broken");
        story.addLine("no object");
        assertTrue(story.render("r1").isEmpty());
        assertEquals(2, story.unparsableCount());
    }
}
