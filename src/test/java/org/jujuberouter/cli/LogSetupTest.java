package org.jujuberouter.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/** Guards against log lines whose fields cannot be parsed, for instance because a value holds quotes or line breaks. */
class LogSetupTest {
    @Test
    void formatsARecordAsOneLineWithQuotedFields() {
        LogRecord entry = new LogRecord(Level.WARNING, "[supervisor] a child ended");
        entry.setInstant(Instant.parse("2026-01-02T03:04:05.006Z"));
        entry.setParameters(new Object[] {Map.entry("child", "watch"), Map.entry("cause", "says \"no\"\nand ends")});
        assertEquals(
                "2026-01-02T03:04:05.006Z WARNING [supervisor] a child ended child=watch"
                        + " cause=\"says \\\"no\\\"\\nand ends\"\n",
                new LogSetup.LineFormatter().format(entry));
    }
}
