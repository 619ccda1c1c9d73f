package org.jujuberouter.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.Locale;

/** The burn of all objectives in all scopes, as text, JSON or an HTML page. */
public final class BurnReport {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final long first;
    private final long last;
    private final double scale;
    private final List<Burn> burns;

    BurnReport(long first, long last, double scale, List<Burn> burns) {
        this.first = first;
        this.last = last;
        this.scale = scale;
        this.burns = List.copyOf(burns);
    }

    /** Tells whether any rule fired in any scope. */
    public boolean fired() {
        return burns.stream().anyMatch(Burn::fired);
    }

    /** Returns the report as a table for people. */
    public String text() {
        StringBuilder out = new StringBuilder(summary()).append("\n");
        Objective shown = null;
        for (Burn burn : burns) {
            if (!burn.objective().equals(shown)) {
                shown = burn.objective();
                out.append(String.format("%n%s%n%-32s %9s %7s %8s", shown, "scope", "requests", "bad", "budget"));
                burn.findings()
                        .forEach(f -> out.append(String.format(
                                Locale.ROOT,
                                "  %18s >%4.1f",
                                f.rule().name(),
                                f.rule().rate())));
                out.append("\n");
            }
            out.append(String.format(
                    Locale.ROOT,
                    "%-32s %9d %7d %7.0f%%",
                    burn.scope(),
                    burn.total(),
                    burn.bad(),
                    burn.budgetUsed() * 100));
            burn.findings().forEach(f -> out.append(String.format("  %24s", cell(f))));
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
                        BurnRule.scaled(scale).stream()
                                .map(r -> r.name() + " are " + duration(r.longMs()) + " / " + duration(r.shortMs()))
                                .toList()));
    }

    private String cell(Burn.Finding finding) {
        if (!finding.judged()) {
            return "too few requests";
        }
        return finding.fired()
                ? String.format(Locale.ROOT, "%.1f FIRED at +%s", finding.peak(), duration(finding.firedAt() - first))
                : String.format(Locale.ROOT, "%.1f", finding.peak());
    }

    /** Returns the report as one JSON document. */
    public String json() {
        ObjectNode root = JSON.createObjectNode();
        root.put("first", first).put("last", last).put("scale", scale).put("fired", fired());
        ArrayNode list = root.putArray("burns");
        for (Burn burn : burns) {
            ObjectNode node = list.addObject();
            node.put("measure", burn.objective().measure().text())
                    .put("limitMs", burn.objective().limitMs())
                    .put("share", burn.objective().share())
                    .put("scope", burn.scope())
                    .put("requests", burn.total())
                    .put("bad", burn.bad())
                    .put("budgetUsed", burn.budgetUsed());
            ArrayNode rules = node.putArray("rules");
            for (Burn.Finding finding : burn.findings()) {
                rules.addObject()
                        .put("rule", finding.rule().name())
                        .put("longMs", finding.rule().longMs())
                        .put("shortMs", finding.rule().shortMs())
                        .put("rate", finding.rule().rate())
                        .put("judged", finding.judged())
                        .put("peak", finding.peak())
                        .put("firedAt", finding.firedAt())
                        .put("firedMs", finding.firedMs());
            }
        }
        return root.toPrettyString();
    }

    /** Returns the report as a page with a picture for each objective and no reference to other files. */
    public String html() {
        StringBuilder out = new StringBuilder("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
                + "<title>Service-level burn</title><style>body{font:15px sans-serif;margin:2em;max-width:75em}"
                + "table{border-collapse:collapse}td,th{border:1px solid #bbb;padding:.25em .6em;text-align:right}"
                + "td:first-child,th:first-child{text-align:left}.fired{background:#fbd5d0}img{max-width:100%}"
                + "</style></head><body>\n<h1>Service-level burn</h1>\n<p>"
                + escape(summary()) + ".</p>\n");
        Objective shown = null;
        for (Burn burn : burns) {
            if (!burn.objective().equals(shown)) {
                out.append(shown == null ? "" : "</table>\n");
                shown = burn.objective();
                out.append(heading(burn));
            }
            out.append(row(burn));
        }
        return out.append("</table>\n</body></html>\n").toString();
    }

    /** Returns the picture of one measure over all requests as a PNG, or nothing when there is no such objective. */
    public java.util.Optional<byte[]> png(Objective.Measure measure) {
        return burns.stream()
                .filter(b -> b.objective().measure() == measure)
                .findFirst()
                .map(b -> BurnChart.png(b, first));
    }

    private String heading(Burn all) {
        StringBuilder out = new StringBuilder("<h2>" + escape(all.objective().toString()) + "</h2>\n");
        String image = Base64.getEncoder().encodeToString(BurnChart.png(all, first));
        out.append("<p><img alt=\"burn rate over time\" src=\"data:image/png;base64,")
                .append(image)
                .append("\"></p>\n<table><tr><th>scope</th><th>requests</th><th>bad</th><th>budget used</th>");
        all.findings()
                .forEach(f -> out.append(String.format(
                        Locale.ROOT,
                        "<th>%s, above %.1f</th>",
                        f.rule().name(),
                        f.rule().rate())));
        return out.append("</tr>\n").toString();
    }

    private String row(Burn burn) {
        StringBuilder out = new StringBuilder(String.format(
                Locale.ROOT,
                "<tr><td>%s</td><td>%d</td><td>%d</td><td>%.0f %%</td>",
                escape(burn.scope()),
                burn.total(),
                burn.bad(),
                burn.budgetUsed() * 100));
        burn.findings()
                .forEach(f -> out.append(f.fired() ? "<td class=\"fired\">" : "<td>")
                        .append(cell(f))
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
