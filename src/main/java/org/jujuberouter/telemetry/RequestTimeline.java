package org.jujuberouter.telemetry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jujuberouter.misc.Json;

/**
 * Reconstructs the timeline of a request from the log lines of all instances.
 *
 * <p>In addition to the lines of the request, the timeline contains the state changes of the instances involved, from
 * shortly before the request until its end, and the failures of other calls at the endpoints to which it was sent.
 */
public final class RequestTimeline {
    /** Time before the first line of the request from which context is included. */
    private static final Duration CONTEXT_BEFORE = Duration.ofSeconds(5);

    /** Maximum number of context lines, the latest ones; all lines of the request itself are included. */
    private static final int MAX_CONTEXT_LINES = 40;

    private static final Set<String> HEAD_FIELDS = Set.of("time", "level", "instance", "part", "event", "request");

    private final List<Line> lines = new ArrayList<>();
    private int unparsableCount;

    private record Line(Instant time, JsonNode fields) {
        private String text(String field) {
            return fields.path(field).asText();
        }
    }

    private RequestTimeline() {}

    /** Returns a timeline without lines. */
    public static RequestTimeline empty() {
        return new RequestTimeline();
    }

    /** Adds a log line; text before its JSON object, such as the prefix of a log collector, is skipped. */
    public void addLine(String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return;
        }
        try {
            JsonNode fields = Json.MAPPER.readTree(line.substring(start));
            lines.add(new Line(Instant.parse(fields.path("time").asText()), fields));
        } catch (JsonProcessingException | DateTimeException e) {
            unparsableCount++;
        }
    }

    /** Returns the number of lines with a JSON object that could not be parsed. */
    public int unparsableCount() {
        return unparsableCount;
    }

    /** Returns the timeline of a request as text, or empty if no line names the request. */
    public Optional<String> render(String request) {
        List<Line> requestLines = lines.stream()
                .filter(l -> l.text("request").equals(request))
                .sorted(Comparator.comparing(Line::time))
                .toList();
        if (requestLines.isEmpty()) {
            return Optional.empty();
        }
        Instant first = requestLines.getFirst().time;
        List<Line> timeline = new ArrayList<>(context(requestLines));
        timeline.addAll(requestLines);
        timeline.sort(Comparator.comparing(Line::time));
        StringBuilder text = new StringBuilder();
        timeline.forEach(l -> text.append(format(l, first, request)));
        return Optional.of(text.toString());
    }

    private List<Line> context(List<Line> requestLines) {
        Instant from = requestLines.getFirst().time.minus(CONTEXT_BEFORE);
        Instant to = requestLines.getLast().time;
        Set<String> instances = new HashSet<>();
        Set<String> endpoints = new HashSet<>();
        for (Line l : requestLines) {
            instances.add(l.text("instance"));
            if (l.fields.has("endpoint")) {
                endpoints.add(l.text("endpoint"));
            }
        }
        List<Line> contextLines = lines.stream()
                .filter(l -> !l.time.isBefore(from) && !l.time.isAfter(to) && !requestLines.contains(l))
                .filter(l -> isRelevant(l, instances, endpoints))
                .sorted(Comparator.comparing(Line::time))
                .toList();
        return contextLines.subList(Math.max(0, contextLines.size() - MAX_CONTEXT_LINES), contextLines.size());
    }

    private static boolean isRelevant(Line line, Set<String> instances, Set<String> endpoints) {
        boolean atSameEndpoint = endpoints.contains(line.text("endpoint"));
        if (line.fields.has("request")) {
            return atSameEndpoint && line.text("level").equals("WARNING");
        }
        boolean atOtherEndpoint = line.fields.has("endpoint") && !atSameEndpoint;
        return instances.contains(line.text("instance")) && !atOtherEndpoint;
    }

    private static String format(Line line, Instant first, String request) {
        StringBuilder text = new StringBuilder();
        String mark = line.text("request").equals(request) ? "*" : " ";
        text.append("%s %+9.3f s  %-20s [%s] %s"
                .formatted(
                        mark,
                        Duration.between(first, line.time).toMillis() / 1_000.0,
                        line.text("instance"),
                        line.text("part"),
                        line.text("event")));
        if (mark.isBlank() && line.fields.has("request")) {
            text.append(" (request ").append(line.text("request")).append(')');
        }
        for (Map.Entry<String, JsonNode> field : line.fields.properties()) {
            if (!HEAD_FIELDS.contains(field.getKey())) {
                text.append(' ').append(field.getKey()).append('=').append(field.getValue());
            }
        }
        return text.append('\n').toString();
    }
}
