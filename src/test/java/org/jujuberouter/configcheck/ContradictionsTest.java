package org.jujuberouter.configcheck;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against limits that no call can meet, which show only as late or failed calls. */
class ContradictionsTest {
    private static List<String> places(String document) {
        return Documents.places(Documents.findings(document));
    }

    @Test
    void findsATimeoutBelowTheObjective() {
        assertEquals(List.of("warning /Routes/0/TimeoutMs"), places(Documents.with("/Routes/0/TimeoutMs", "999")));
        assertEquals(List.of(), places(Documents.with("/Routes/0/TimeoutMs", "1000")));
    }

    @Test
    void findsAGapObjectiveAboveTheTimeout() {
        assertEquals(List.of("warning /Routes/0/TargetGapMs"), places(Documents.with("/Routes/0/TargetGapMs", "5001")));
        assertEquals(List.of(), places(Documents.with("/Routes/0/TargetGapMs", "5000")));
    }

    /** An engine reads 1,000 tokens in 5 ms and half a million pairs in 0.05 ms. */
    @Test
    void findsAnObjectiveBelowTheTimeToReadThePrompt() {
        List<Finding> findings = Documents.findings(Documents.with("/Routes/0/TargetLatencyMs", "5"));
        assertEquals(List.of("warning /Routes/0/TargetLatencyMs"), Documents.places(findings));
        assertEquals("at least 6 ms", findings.getFirst().bound());
        assertEquals(List.of(), places(Documents.with("/Routes/0/TargetLatencyMs", "6")));
        assertEquals(List.of(), places(Documents.with("/Routes/0/TargetLatencyMs", null)), "no objective is declared");
        assertEquals(List.of(), places(Documents.with("/Routes/1/TargetLatencyMs", "1")), "a plain service");
    }

    /** An iteration makes 40 steps of 1.00761 ms with one stream and 1,000 tokens of context. */
    @Test
    void findsAGapObjectiveBelowAnIterationOfTheEngine() {
        assertEquals(List.of("warning /Routes/0/TargetGapMs"), places(Documents.with("/Routes/0/TargetGapMs", "40")));
        assertEquals(List.of(), places(Documents.with("/Routes/0/TargetGapMs", "41")));
        assertEquals(
                List.of(),
                places(Documents.with(
                        Documents.with("/Routes/0/TargetGapMs", "40"), "/Routes/0/Type", "\"idempotent\"")));
    }

    @Test
    void findsABodyLimitBelowAPrompt() {
        String document = Documents.with("/Limits/MaxBodyBytes", "3999");
        assertEquals(List.of("warning /Limits/MaxBodyBytes"), places(document));
        assertEquals(List.of(), places(Documents.with("/Limits/MaxBodyBytes", "4000")));
        assertEquals(List.of(), places(Documents.with(document, "/Services/0/Engine", null)), "only plain services");
    }

    @Test
    void findsAColdLimitBelowOneCallPerSecond() {
        assertEquals(List.of("warning /Services/0/ColdPerS"), places(Documents.with("/Services/0/ColdPerS", "0.9")));
        assertEquals(List.of(), places(Documents.with("/Services/0/ColdPerS", "0")));
        assertEquals(List.of(), places(Documents.with("/Services/0/ColdPerS", "1")));
    }
}
