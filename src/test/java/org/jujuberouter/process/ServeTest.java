package org.jujuberouter.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs an instance on the users' platform as the real program. */
@Tag("process")
class ServeTest {
    private static final String BINARY = System.getProperty("jujuberouter.binary", "target/jujuberouter");

    @TempDir
    private Path files;

    @Test
    void endsWithCodeZeroWhenToldToStopAndLogsIt() throws Exception {
        try (StandinSite site = StandinSite.start(1, 1, 1)) {
            Path node = files.resolve("node.json");
            int port = site.writeNodeFile(node, "one").getPort();
            Path output = files.resolve("output");
            Process process = new ProcessBuilder(BINARY, "serve", "--node-file", node.toString())
                    .redirectErrorStream(true)
                    .redirectOutput(output.toFile())
                    .start();
            try {
                awaitPort(port);
                process.destroy();
                assertTrue(process.waitFor(15, TimeUnit.SECONDS), "the process did not end");
                assertEquals(0, process.exitValue());
                String log = Files.readString(output);
                assertTrue(log.contains("[state] stopping"), log);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void readsItsSettingsAgainOnSighupAndGoesOn() throws Exception {
        try (StandinSite site = StandinSite.start(1, 1, 1)) {
            Path node = files.resolve("node.json");
            int port = site.writeNodeFile(node, "one").getPort();
            Path output = files.resolve("output");
            Process process = new ProcessBuilder(BINARY, "serve", "--node-file", node.toString())
                    .redirectErrorStream(true)
                    .redirectOutput(output.toFile())
                    .start();
            try {
                awaitPort(port);
                hangUp(process);
                Files.writeString(node, "not a settings file");
                hangUp(process);
                assertFalse(process.waitFor(5, TimeUnit.SECONDS), "the process ended");
                String log = Files.readString(output);
                assertTrue(log.contains("[state] settings read again"), log);
                assertTrue(log.contains("[state] settings cannot be read"), log);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static void hangUp(Process process) throws Exception {
        new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid()))
                .start()
                .waitFor();
        Thread.sleep(500);
    }

    @Test
    void saysWhatIsWrongWithTheSettingsAndEndsWithCodeOne() throws Exception {
        Path node = Files.writeString(files.resolve("node.json"), "{\"Node\":\"one\"}");
        Process process = new ProcessBuilder(BINARY, "serve", "--node-file", node.toString())
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes());
        assertEquals(1, process.waitFor());
        assertTrue(output.contains("cannot read the settings"), output);
    }

    private static void awaitPort(int port) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (System.nanoTime() < end) {
            try {
                new Socket("127.0.0.1", port).close();
                return;
            } catch (java.io.IOException e) {
                Thread.sleep(50);
            }
        }
        throw new AssertionError("nothing listens on port " + port);
    }
}
