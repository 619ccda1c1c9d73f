package org.jujuberouter.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayInputStream;
import java.util.List;
import java.util.Optional;
import javax.imageio.ImageIO;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests burn rates against manually calculated values, and the criterion by which each measure counts a request as bad.
 */
class BurnReportTest {
    private static final long START = 1_000_000;

    /**
     * Scales one hour to 20 s, five minutes to 1.667 s, six hours to 120 s, half an hour to 10 s and three days to
     * 1,440 s.
     */
    private static final Optional<Double> SCALE = Optional.of(1.0 / 180);

    /**
     * One request per second for 100 s; those in seconds 40 to 49 fail, and a tenth may fail.
     *
     * <p>1 h / 5 min: at second 49 the window of 20 s holds 20 requests, 10 bad: 0.5 / 0.1 = 5. The short window holds
     * the seconds 48 and 49: 1 / 0.1 = 10. The lower one is 5, so the rule at 14.4 does not fire.
     *
     * <p>6 h / 30 min: the window of 120 s holds 50 requests, 10 bad: 2; the short one holds only bad ones: 10. Peak 2.
     *
     * <p>3 d / 6 h: both windows hold all requests so far. At second k >= 40, k - 39 of k + 1 are bad; the rate exceeds
     * 1 when (k - 39) / (k + 1) > 0.1, first at k = 44 (5 / 45). It falls back to 1 at second 99 (10 / 100), so the
     * rule fires from 44 to 99. The peak is 2 at second 49.
     */
    @Test
    void matchesTheManuallyCalculatedExample() throws Exception {
        JsonNode burn = availability("0.9").path("burns").path(0);
        assertEquals("all", burn.path("scope").asText());
        assertEquals(100, burn.path("requests").asInt());
        assertEquals(10, burn.path("bad").asInt());
        assertEquals(1.0, burn.path("budgetUsed").asDouble(), 1e-9);
        JsonNode rules = burn.path("rules");
        assertEquals(5.0, rules.path(0).path("peak").asDouble(), 1e-9);
        assertEquals(-1, rules.path(0).path("firedAt").asLong());
        assertEquals(2.0, rules.path(1).path("peak").asDouble(), 1e-9);
        assertEquals(-1, rules.path(1).path("firedAt").asLong());
        assertEquals(2.0, rules.path(2).path("peak").asDouble(), 1e-9);
        assertEquals(START + 44_000, rules.path(2).path("firedAt").asLong());
        assertEquals(55_000, rules.path(2).path("firedMs").asLong());
    }

    /** With a budget of 0.03, 9 bad of 20 give 15 at second 48 (seconds 29 to 48), and 8 of 20 give 13.3 before. */
    @Test
    void firesTheFastRuleWhenBothItsWindowsExceedTheThreshold() throws Exception {
        JsonNode rule = availability("0.97").path("burns").path(0).path("rules").path(0);
        assertEquals(START + 48_000, rule.path("firedAt").asLong());
        assertEquals(0.5 / 0.03, rule.path("peak").asDouble(), 1e-9);
    }

    @Test
    void doesNotFireOnAWindowWithTooFewRequests() throws Exception {
        BurnReportBuilder builder = BurnReportBuilder.of(List.of(Objective.parse("availability=0.9")));
        for (int i = 0; i < 9; i++) {
            builder.addRecord(request(i, 503, 100, 10));
        }
        assertFalse(builder.build(SCALE).fired());
        builder.addRecord(request(9, 503, 100, 10));
        assertTrue(builder.build(SCALE).fired());
    }

    @Test
    void evaluatesEachMeasureByItsOwnCriterion() throws Exception {
        Objective first = Objective.parse("first-token=1200@0.95");
        assertEquals(Optional.of(true), first.evaluate(request(0, 200, 1200, 10)));
        assertEquals(Optional.of(false), first.evaluate(request(0, 200, 1201, 10)));
        assertEquals(Optional.of(false), first.evaluate(request(0, 503, -1, -1)));
        assertEquals(Optional.empty(), first.evaluate(request(0, 429, -1, -1)));
        Objective between = Objective.parse("between-tokens=43@0.95");
        assertEquals(Optional.of(false), between.evaluate(request(0, 200, 10, 44)));
        assertEquals(Optional.empty(), between.evaluate(request(0, 200, 10, -1)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"availability", "availability=1", "first-token=1200", "speed=3@0.9", "first-token=x@0.9"})
    void rejectsAnInvalidObjective(String text) {
        assertThrows(ReportException.class, () -> Objective.parse(text));
    }

    @Test
    void countsBetweenScrapesAndAfterARestart() throws Exception {
        BurnReportBuilder builder = BurnReportBuilder.of(
                List.of(Objective.parse("availability=0.9"), Objective.parse("first-token=1200@0.9")));
        builder.addMetrics("a", START, metrics(100, 5, 90));
        builder.addMetrics("a", START + 5000, metrics(130, 10, 115));
        builder.addMetrics("a", START + 10_000, metrics(20, 0, 18));
        JsonNode burns =
                new ObjectMapper().readTree(builder.build(SCALE).json()).path("burns");
        // 30 responses and 5 failures before the restart, 20 responses after it.
        assertEquals(55, burns.path(0).path("requests").asInt());
        assertEquals(5, burns.path(0).path("bad").asInt());
        assertEquals("customer c \"1\"", burns.path(1).path("scope").asText());
        // 30 first tokens before the restart, 25 of them in time, and 20 after it, 18 of them in time.
        JsonNode first = burns.path(3);
        assertEquals("first-token", first.path("measure").asText());
        assertEquals(50, first.path("requests").asInt());
        assertEquals(7, first.path("bad").asInt());
    }

    @Test
    void reportsTheLineNumberOfAnInvalidRecord() {
        assertEquals(
                "line 3 lacks t, customer or service",
                assertThrows(ReportException.class, () -> RequestRecord.parse("{}", 3))
                        .getMessage());
        assertTrue(assertThrows(ReportException.class, () -> RequestRecord.parse("{", 4))
                .getMessage()
                .startsWith("line 4 is not a request record"));
    }

    @Test
    void embedsTheChartInTheHtmlPage() throws Exception {
        BurnReport report = runWithFailures("0.9").build(SCALE);
        byte[] png = report.png(Objective.Measure.AVAILABILITY).orElseThrow();
        assertEquals(960, ImageIO.read(new ByteArrayInputStream(png)).getWidth());
        assertTrue(report.html().contains("data:image/png;base64,"));
        assertTrue(report.text().contains("FIRED at +44.0 s"), report.text());
    }

    private static JsonNode availability(String share) throws Exception {
        return new ObjectMapper().readTree(runWithFailures(share).build(SCALE).json());
    }

    private static BurnReportBuilder runWithFailures(String share) throws ReportException {
        BurnReportBuilder builder = BurnReportBuilder.of(List.of(Objective.parse("availability=" + share)));
        for (int second = 0; second < 100; second++) {
            builder.addRecord(request(second, second >= 40 && second < 50 ? 503 : 200, 100, 10));
        }
        return builder;
    }

    private static RequestRecord request(int second, int status, double firstMs, double gapMs) {
        return new RequestRecord(
                START + second * 1000L, "c", "s", "stream", 1, 1, status, "unknown", "none", firstMs, gapMs, 1);
    }

    private static String metrics(int completed, int failed, int inTime) {
        String labels = "service=\"s\",customer=\"c \\\"1\\\"\"";
        return "# TYPE jujuberouter_requests_total counter\n"
                + "jujuberouter_requests_total{" + labels + ",outcome=\"completed\",status=\"200\"} " + completed + "\n"
                + "jujuberouter_requests_total{" + labels + ",outcome=\"not-run\",status=\"503\"} " + failed + "\n"
                + "jujuberouter_requests_total{" + labels + ",outcome=\"not-run\",status=\"429\"} 7\n"
                + "jujuberouter_first_token_seconds_bucket{" + labels + ",le=\"1.2\"} " + inTime + "\n"
                + "jujuberouter_first_token_seconds_bucket{" + labels + ",le=\"+Inf\"} " + completed + "\n"
                + "jvm_threads 3\n";
    }
}
