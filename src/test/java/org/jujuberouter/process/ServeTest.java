package org.jujuberouter.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.platform.standin.StandinSite;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the {@code serve} command as a process against stand-ins of the users' platform. */
@Tag("process")
class ServeTest {
    @TempDir
    private Path directory;

    private Path nodeFile() {
        return directory.resolve("node.json");
    }

    private Path outputFile() {
        return directory.resolve("output");
    }

    private ChildProcess startServe() throws Exception {
        return ChildProcess.startWithOutputFile(
                outputFile(), "serve", "--node-file", nodeFile().toString());
    }

    @Test
    void exitsWithZeroAndLogsTheStopOnSigterm() throws Exception {
        try (StandinSite site = StandinSite.start(1, 1, 1)) {
            int port = site.writeNodeFile(nodeFile(), "one").getPort();
            try (ChildProcess process = startServe()) {
                awaitPort(port);
                process.signal("TERM");
                assertEquals(0, process.awaitExit(15));
                String log = Files.readString(outputFile());
                assertTrue(log.contains("\"part\":\"state\",\"event\":\"stopping\""), log);
            }
        }
    }

    /** Returns whether processes that the tests start ignore the signal, as they do if nohup has started the tests. */
    private static boolean isHangupIgnored() throws Exception {
        Process shell = new ProcessBuilder("sh", "-c", "kill -HUP $$; echo ignored").start();
        return new String(shell.getInputStream().readAllBytes(), StandardCharsets.US_ASCII).contains("ignored");
    }

    private ChildProcess startServeThrough(List<String> launcher) throws Exception {
        return ChildProcess.startThrough(
                launcher, outputFile(), "serve", "--node-file", nodeFile().toString());
    }

    @Test
    void reloadsSettingsOnSighupAndKeepsRunningWhenTheyAreInvalid() throws Exception {
        try (StandinSite site = StandinSite.start(1, 1, 1)) {
            int port = site.writeNodeFile(nodeFile(), "one").getPort();
            List<String> launcher = isHangupIgnored() ? List.of("env", "--default-signal=HUP") : List.of();
            try (ChildProcess process = startServeThrough(launcher)) {
                awaitPort(port);
                sendHangup(process);
                Files.writeString(nodeFile(), "not a settings file");
                sendHangup(process);
                Thread.sleep(5_000);
                assertTrue(process.isAlive(), "the process exited");
                String log = Files.readString(outputFile());
                assertTrue(log.contains("\"event\":\"settings read again"), log);
                assertTrue(log.contains("\"event\":\"settings cannot be read"), log);
            }
        }
    }

    /** An operator would wait in vain for a reload, without any sign of why. */
    @Test
    void logsThatSighupIsIgnoredIfItsParentIgnoresIt() throws Exception {
        try (StandinSite site = StandinSite.start(1, 1, 1)) {
            int port = site.writeNodeFile(nodeFile(), "one").getPort();
            List<String> launcher = List.of("sh", "-c", "trap '' HUP; exec \"$0\" \"$@\"");
            try (ChildProcess process = startServeThrough(launcher)) {
                awaitPort(port);
                sendHangup(process);
                assertTrue(process.isAlive(), "the process exited");
                String log = Files.readString(outputFile());
                assertTrue(log.contains("\"event\":\"SIGHUP is ignored"), log);
                assertFalse(log.contains("\"event\":\"settings read again"), log);
            }
        }
    }

    private static void sendHangup(ChildProcess process) throws Exception {
        process.signal("HUP");
        Thread.sleep(500);
    }

    @Test
    void reportsInvalidSettingsAndExitsWithOne() throws Exception {
        Files.writeString(nodeFile(), "{\"Node\":\"one\"}");
        try (ChildProcess process = startServe()) {
            assertEquals(1, process.awaitExit(15));
            String log = Files.readString(outputFile());
            assertTrue(log.contains("cannot read the settings"), log);
        }
    }

    @Test
    void reportsAnInvalidMetricsPortAndExitsWithOne() throws Exception {
        try (StandinSite site = StandinSite.start(1, 1, 1)) {
            site.writeNodeFile(nodeFile(), "one");
            try (ChildProcess process = ChildProcess.startWithOutputFile(
                    outputFile(), "serve", "--node-file", nodeFile().toString(), "--metrics-port", "none")) {
                assertEquals(1, process.awaitExit(15));
                String log = Files.readString(outputFile());
                assertTrue(log.contains("the port for metrics, \"none\", is not a number from 0 to 65535"), log);
            }
        }
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
