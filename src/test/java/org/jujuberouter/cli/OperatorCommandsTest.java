package org.jujuberouter.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.jujuberouter.standin.StoreFault;
import org.jujuberouter.standin.StoreServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Guards against commands that misreport a change or leave the operator without a way to learn its outcome. */
class OperatorCommandsTest {
    @TempDir
    private Path directory;

    private StoreServer server;
    private String out;

    @BeforeEach
    void startStore() throws Exception {
        server = StoreServer.start();
    }

    @AfterEach
    void stopStore() {
        server.close();
    }

    @Test
    void createsListsDrainsRestoresAndDeletesResources() {
        assertEquals(0, run("service", "create", "assistant", "--kind", "inference", "--model", "m1=v2,v1"));
        assertEquals(4, run("service", "create", "assistant", "--kind", "inference"));
        assertEquals(0, run("customer", "create", "depot", "--weight", "3"));
        assertTrue(out.contains("API key (not shown again): "), out);
        assertEquals(0, run("settings", "set", "service/assistant/customer/depot/weight=2"));
        assertEquals(0, run("domain", "create", "udon", "--region", "isan"));
        assertEquals(0, run("domain", "drain", "udon"));
        assertEquals(0, run("domain", "drain", "udon"));
        assertTrue(out.contains("nothing to change"), out);
        assertEquals(0, run("domain", "list", "--output", "json"));
        assertTrue(out.contains("\"drained\" : true"), out);
        assertEquals(4, run("domain", "drain", "udno"));
        assertEquals(0, run("domain", "restore", "udon"));
        assertEquals(0, run("service", "list"));
        assertTrue(out.contains("service=assistant  kind=inference  models=[m1]"), out);
        assertEquals(0, run("customer", "delete", "depot"));
        assertEquals(4, run("settings", "get", "service/assistant/customer/depot"));
        assertEquals(0, run("settings", "history", "--limit", "1"));
        assertTrue(out.contains("delete customer depot"), out);
    }

    @Test
    void resolvesLostReplyAndNamesTheConflictingChange() throws Exception {
        server.inject(StoreFault.of(StoreFault.Kind.LOSE_REPLY).forCalls(1, "settings"));
        assertEquals(0, run("settings", "set", "global/weight=2", "--change-id", "c1", "--author", "mali"));
        assertTrue(out.contains("found by its change id"), out);
        assertEquals(0, run("settings", "set", "global/weight=2", "--change-id", "c1"));
        assertEquals(3, run("settings", "set", "global/weight=3", "--if-version", "0"));
        assertTrue(out.contains("by mali"), out);
        assertEquals(0, run("settings", "set", "global/retry.budget=0.2", "--if-version", "0"));
        assertEquals(3, run("settings", "set", "global/retry.budget=0.2", "--if-version", "1", "--no-rebase"));
    }

    @Test
    void distinguishesAnUnchangedStoreFromAnUnknownOutcome() throws Exception {
        server.inject(StoreFault.of(StoreFault.Kind.REFUSE));
        assertEquals(5, run("settings", "set", "global/weight=2", "--timeout-ms", "200"));
        server.inject(StoreFault.of(StoreFault.Kind.DELAY_EFFECT).withDelay(Duration.ofSeconds(1)));
        assertEquals(6, run("settings", "set", "global/weight=2", "--timeout-ms", "0", "--change-id", "c9"));
        assertTrue(out.contains("--change-id c9"), out);
        server.inject(StoreFault.none());
        assertEquals(0, run("settings", "set", "global/weight=2", "--change-id", "c9"));
    }

    @Test
    void reportsAllInvalidSettingsAndRejectsWrongUsage() {
        assertEquals(4, run("settings", "set", "global/weight=0", "global/colour=red"));
        assertTrue(out.contains("global/weight: 0.0") && out.contains("global/colour"), out);
        assertEquals(2, run("settings", "set", "global/weight"));
        assertEquals(2, run("settings", "get", "--output", "xml"));
        assertEquals(2, new RootCommand().execute("settings", "get", "--store", "nowhere"));
    }

    @Test
    void exportsAndImportsWithANewVersionAboveTheGivenOne() throws Exception {
        Path file = directory.resolve("settings.json");
        assertEquals(0, run("settings", "set", "global/weight=2"));
        assertEquals(0, run("settings", "export", "--file", file.toString()));
        assertTrue(Files.readString(file).contains("\"global/weight\" : 2.0"));
        assertEquals(0, run("settings", "set", "global/retry.budget=0.2"));
        assertEquals(0, run("settings", "import", file.toString(), "--replace", "--above-version", "40"));
        assertTrue(out.contains("version 41"), out);
        assertEquals(4, run("settings", "get", "global/retry.budget"));
        assertEquals(0, run("settings", "effective", "global", "--setting", "weight"));
        assertTrue(out.contains("weight = 2.0  (global/weight)"), out);
    }

    @Test
    void generatesACompletionScriptAndKeepsTheSchemaTableUpToDate() throws Exception {
        assertEquals(0, new RootCommand().execute("completion"));
        assertTrue(out.contains("picocli_jujuberouter_domain_drain"), "no completion of domain drain");
        assertEquals(0, new RootCommand().execute("settings", "schema", "--output", "markdown"));
        assertTrue(Files.readString(Path.of("docs/settings.md")).contains(out), "docs/settings.md is out of date");
    }

    @Test
    void reportsAllErrorsInFlagsAndVariables() {
        Flags flags = Flags.of(
                Map.of("peer-port", "70000", "zone", "x"),
                Map.of("JUJUBEROUTER_LOG_LEVL", "info", "JUJUBEROUTER_STORE_URL", "here", "PATH", "/"));
        flags.port("peer-port", 8400);
        flags.address("store-url");
        flags.text("zone");
        flags.hostAndPort("bind");
        assertEquals(
                List.of(
                        "--peer-port is \"70000\"; allowed: a whole number from 0 to 65535",
                        "JUJUBEROUTER_STORE_URL is \"here\"; allowed: " + Flags.HTTP_ADDRESS,
                        "--bind (or JUJUBEROUTER_BIND) is required; allowed: an IP number and a port such as 10.0.0.7:8400"),
                flags.errors().subList(0, 3));
        assertTrue(flags.errors().get(3).startsWith("JUJUBEROUTER_LOG_LEVL is set, but no flag reads it"));
    }

    private int run(String... args) {
        String[] all = java.util.Arrays.copyOf(args, args.length + 2);
        all[args.length] = "--store";
        all[args.length + 1] = server.address().toString();
        return new RootCommand().execute(all);
    }

    @Command(name = "jujuberouter")
    private final class RootCommand {
        int execute(String... args) {
            StringWriter text = new StringWriter();
            CommandLine root = OperatorCommands.addTo(new CommandLine(this));
            root.setOut(new PrintWriter(text)).setErr(new PrintWriter(text));
            int code = root.execute(args);
            out = text.toString();
            return code;
        }
    }
}
