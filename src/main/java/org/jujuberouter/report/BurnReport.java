package org.jujuberouter.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Locale;

/** The burn rates of all objectives in all scopes, as text, JSON or an HTML page. */
public final class BurnReport {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final long first;
    private final long last;
    private final double scale;
    private final List<BurnRateAnalysis> analyses;

    BurnReport(long first, long last, double scale, List<BurnRateAnalysis> analyses) {
        this.first = first;
        this.last = last;
        this.scale = scale;
        this.analyses = List.copyOf(analyses);
    }

    /** Returns whether any rule fired in any scope. */
    public boolean fired() {
        return analyses.stream().anyMatch(BurnRateAnalysis::fired);
    }

    /** Returns the report as a plain-text table. */
    public String text() {
        StringBuilder out = new StringBuilder(summary()).append("\n");
        Objective currentObjective = null;
        for (BurnRateAnalysis analysis : analyses) {
            if (!analysis.objective().equals(currentObjective)) {
                currentObjective = analysis.objective();
                out.append(String.format(
                        "%n%s%n%-32s %9s %7s %8s", currentObjective, "scope", "requests", "bad", "budget"));
                analysis.ruleResults()
                        .forEach(r -> out.append(String.format(
                                Locale.ROOT,
                                "  %18s >%4.1f",
                                r.rule().name(),
                                r.rule().threshold())));
                out.append("\n");
            }
            out.append(String.format(
                    Locale.ROOT,
                    "%-32s %9d %7d %7.0f%%",
                    analysis.scope(),
                    analysis.total(),
                    analysis.bad(),
                    analysis.budgetUsed() * 100));
            analysis.ruleResults().forEach(r -> out.append(String.format("  %24s", formatResult(r))));
            out.append("\n");
        }
        return out.toString();
    }

    private String summary() {
        return String.format(
                Locale.ROOT,
                "run of %s, windows scaled by %.3g: %s; highest burn rate that both windows of a rule reached",
                duration(last - first),
                scale,
                String.join(
                        ", ",
                        BurnRateRule.scaled(scale).stream()
                                .map(r -> r.name() + " are " + duration(r.longMs()) + " / " + duration(r.shortMs()))
                                .toList()));
    }

    private String formatResult(BurnRateAnalysis.RuleResult result) {
        if (!result.hasEnoughRequests()) {
            return "too few requests";
        }
        return result.fired()
                ? String.format(Locale.ROOT, "%.1f FIRED at +%s", result.peak(), duration(result.firedAt() - first))
                : String.format(Locale.ROOT, "%.1f", result.peak());
    }

    /** Returns the report as a JSON document. */
    public String json() {
        ObjectNode root = JSON.createObjectNode();
        root.put("first", first).put("last", last).put("scale", scale).put("fired", fired());
        ArrayNode list = root.putArray("burns");
        for (BurnRateAnalysis analysis : analyses) {
            ObjectNode node = list.addObject();
            node.put("measure", analysis.objective().measure().text())
                    .put("limitMs", analysis.objective().limitMs())
                    .put("share", analysis.objective().share())
                    .put("scope", analysis.scope())
                    .put("requests", analysis.total())
                    .put("bad", analysis.bad())
                    .put("budgetUsed", analysis.budgetUsed());
            ArrayNode rules = node.putArray("rules");
            for (BurnRateAnalysis.RuleResult result : analysis.ruleResults()) {
                rules.addObject()
                        .put("rule", result.rule().name())
                        .put("longMs", result.rule().longMs())
                        .put("shortMs", result.rule().shortMs())
                        .put("rate", result.rule().threshold())
                        .put("judged", result.hasEnoughRequests())
                        .put("peak", result.peak())
                        .put("firedAt", result.firedAt())
                        .put("firedMs", result.firedMs());
            }
        }
        return root.toPrettyString();
    }

    /** Returns the report as a self-contained HTML page with a chart for each objective. */
    public String html() {
        StringBuilder out = new StringBuilder("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                + "<title>Service-level burn</title><style>body{font:15px sans-serif;margin:2em;max-width:75em}"
                + "table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.25em .6em;text-align:right}"
                + "td:first-child,th:first-child{text-align:left}.fired{background:#fbd5d0}img{max-width:100%}"
                + "</style></head><body>\n<h1>Service-level burn</h1>\n<p>"
                + escape(summary()) + ".</p>\n");
        Objective currentObjective = null;
        for (BurnRateAnalysis analysis : analyses) {
            if (!analysis.objective().equals(currentObjective)) {
                out.append(currentObjective == null ? "" : "</table>\n");
                currentObjective = analysis.objective();
                out.append(sectionStart(analysis));
            }
            out.append(tableRow(analysis));
        }
        return out.append("</table>\n</body></html>\n").toString();
    }

    /** Returns the chart of a measure over all requests as a PNG, or empty if no objective has this measure. */
    public java.util.Optional<byte[]> png(Objective.Measure measure) {
        return analyses.stream()
                .filter(a -> a.objective().measure() == measure)
                .findFirst()
                .map(a -> BurnRateChart.png(a, first));
    }

    private String sectionStart(BurnRateAnalysis overall) {
        StringBuilder out =
                new StringBuilder("<h2>" + escape(overall.objective().toString()) + "</h2>\n");
        String image = Base64.getEncoder().encodeToString(BurnRateChart.png(overall, first));
        out.append("<p><img alt=\"burn rate over time\" src=\"data:image/png;base64,")
                .append(image)
                .append("\"></p>\n<table><tr><th>scope</th><th>requests</th><th>bad</th><th>budget used</th>");
        overall.ruleResults()
                .forEach(r -> out.append(String.format(
                        Locale.ROOT,
                        "<th>%s, above %.1f</th>",
                        r.rule().name(),
                        r.rule().threshold())));
        return out.append("</tr>\n").toString();
    }

    private String tableRow(BurnRateAnalysis analysis) {
        StringBuilder out = new StringBuilder(String.format(
                Locale.ROOT,
                "<tr><td>%s</td><td>%d</td><td>%d</td><td>%.0f %%</td>",
                escape(analysis.scope()),
                analysis.total(),
                analysis.bad(),
                analysis.budgetUsed() * 100));
        analysis.ruleResults()
                .forEach(r -> out.append(r.fired() ? "<td class=\"fired\">" : "<td>")
                        .append(formatResult(r))
                        .append("</td>"));
        return out.append("</tr>\n").toString();
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }

    private static String duration(long millis) {
        if (millis < 1000) {
            return millis + " ms";
        }
        if (millis < 120_000) {
            return String.format(Locale.ROOT, "%.1f s", millis / 1e3);
        }
        Duration d = Duration.ofMillis(millis);
        return d.toHours() < 2
                ? d.toMinutes() + " min " + d.toSecondsPart() + " s"
                : String.format(Locale.ROOT, "%.1f h", millis / 3.6e6);
    }
}
