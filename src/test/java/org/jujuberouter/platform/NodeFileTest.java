package org.jujuberouter.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.jujuberouter.duty.DutySettings;
import org.jujuberouter.gateway.DutyOptions;
import org.jujuberouter.gateway.GatewayOptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against node files that are misread or rejected without a reason. */
class NodeFileTest {
    private static final String GOOD = """
            {"Node":"edge-1","Zone":"north","New":{"field":[1]},"PortRange":[7340,7355],
             "Listen":{"Front":"10.1.0.40:8227","Readiness":"10.1.0.40:8220"},
             "Platform":{"Address":"10.200.1.7:8223"},"Bounds":{"RevokeMs":4000,"GraceS":6,"BudgetSlack":104}}""";

    @TempDir
    private Path files;

    private GatewayOptions read(String text) throws IOException {
        return NodeFile.read(Files.writeString(files.resolve("node.json"), text));
    }

    private void assertRejected(String text, String reason) {
        IOException e = assertThrows(IOException.class, () -> read(text));
        assertTrue(e.getMessage().contains(reason), e.getMessage());
    }

    @Test
    void readsKnownFieldsAndIgnoresUnknownOnes() throws Exception {
        GatewayOptions options = read(GOOD);
        assertEquals("edge-1", options.instance().value());
        assertEquals(8227, options.callers().getPort());
        assertEquals(7340, options.peers().getPort());
        assertEquals("10.1.0.40", options.peers().getAddress().getHostAddress());
        assertEquals(4_000, options.bounds().keyRevocationMs());
        assertEquals(6_000, options.bounds().stopMs());
        assertEquals(104, options.bounds().retrySlack());
        assertFalse(options.firstStart());
        assertTrue(read(GOOD.replace("\"Zone\"", "\"Bootstrap\":true,\"Zone\"")).firstStart());
    }

    @Test
    void readsTheDutiesAndTheirBoundsIfThePlatformHasAny() throws Exception {
        String cloud = """
                ,"Cloud":{"Address":"10.200.1.9:8300","Duties":["usage_report"],"DutyPerS":4}}""";
        String file = GOOD.substring(0, GOOD.length() - 1).replace("\"GraceS\"", "\"LeaseMs\":2500,\"GraceS\"") + cloud;
        DutyOptions duties = read(file).duties().orElseThrow();
        assertEquals(8300, duties.address().getPort());
        assertEquals(new DutySettings(true, false, 4, 2_500, 300, 5_000), duties.settings());
        assertTrue(read(GOOD).duties().isEmpty());
        assertTrue(read(file.replace("usage_report", "another")).duties().isEmpty());
        assertRejected(file.replace("\"DutyPerS\":4", "\"DutyPerS\":0"), "rate limit");
    }

    @Test
    void namesTheMissingOrInvalidField() {
        assertRejected(GOOD.replace("\"Zone\":\"north\",", ""), "Zone");
        assertRejected(GOOD.replace("10.1.0.40:8227", "somewhere"), "somewhere");
        assertRejected(GOOD.replace("[7340,7355]", "\"none\""), "PortRange");
    }

    @Test
    void rejectsATruncatedOrMissingFile() {
        assertThrows(IOException.class, () -> read(GOOD.substring(0, 80)));
        assertThrows(IOException.class, () -> NodeFile.read(files.resolve("absent.json")));
    }
}
