package org.jujuberouter.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a timeline that omits the cause of a failed request, or includes unrelated lines. */
class RequestTimelineTest {
    private final RequestTimeline timeline = RequestTimeline.empty();

    private void line(int second, String instance, String rest) {
        timeline.addLine(
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
    void sortsTheLinesOfTheRequestByTime() {
        lineOfRequest(12, "one", "refused", "r1", "e1");
        lineOfRequest(10, "one", "sent", "r1", "e1");
        List<String> rendered = timeline.render("r1").orElseThrow().lines().toList();
        assertEquals(2, rendered.size());
        assertTrue(rendered.getFirst().contains("sent"), rendered.getFirst());
        assertTrue(rendered.getLast().startsWith("*    +2.000 s"), rendered.getLast());
    }

    @Test
    void includesFailuresAtTheSameEndpointAndStateChangesOfTheInstance() {
        lineOfRequest(10, "one", "sent", "r1", "e1");
        lineOfRequest(11, "two", "attempt failed", "r2", "e1");
        lineOfRequest(11, "two", "attempt failed", "r3", "e2");
        line(9, "one", "\"part\":\"state\",\"event\":\"store lost\"");
        line(9, "two", "\"part\":\"state\",\"event\":\"peer lost\"");
        lineOfRequest(12, "one", "refused", "r1", "e1");
        String rendered = timeline.render("r1").orElseThrow();
        assertTrue(rendered.contains("(request r2)"), rendered);
        assertTrue(rendered.contains("store lost"), rendered);
        assertFalse(rendered.contains("r3") || rendered.contains("peer lost"), rendered);
    }

    @Test
    void returnsEmptyForAnUnknownRequestAndCountsUnparsableLines() {
        timeline.addLine("{\"time\":\"not a time\"}");
        timeline.addLine("{broken");
        timeline.addLine("no object");
        assertTrue(timeline.render("r1").isEmpty());
        assertEquals(2, timeline.unparsableCount());
    }
}
