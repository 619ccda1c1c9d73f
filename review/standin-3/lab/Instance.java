package lab;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One instance of the system as a process of its own, with the command of the deploy file. */
final class Instance implements AutoCloseable {
    final String name;
    final InetSocketAddress front;
    private final int readiness;
    private final List<String> command;
    private final Path root;
    private final Path settings;
    private final Path log;
    private final Process process;

    /** Starts the instance again with the settings that it had, as the platform does after it has ended. */
    Instance(Instance ended) throws IOException {
        name = ended.name;
        front = ended.front;
        readiness = ended.readiness;
        command = ended.command;
        root = ended.root;
        settings = ended.settings;
        log = ended.log;
        Files.writeString(settings, Files.readString(settings).replace("\"Bootstrap\":true", "\"Bootstrap\":false"));
        process = start();
    }

    Instance(Path root, Path folder, String name, String zone, InetSocketAddress store) throws IOException {
        this.name = name;
        int[] ports = new int[4];
        List<ServerSocket> held = new ArrayList<>();
        for (int i = 0; i < ports.length; i++) {
            ServerSocket s = new ServerSocket(0, 1, Site.LOOPBACK);
            held.add(s);
            ports[i] = s.getLocalPort();
        }
        for (ServerSocket s : held) {
            s.close();
        }
        front = new InetSocketAddress(Site.LOOPBACK, ports[0]);
        readiness = ports[1];
        ObjectNode node = Json.object();
        node.put("Node", name).put("Role", "gateway").put("NodeClass", "edge").put("Ip", "127.0.0.1");
        node.putArray("Serves").add("edge");
        node.put("Zone", zone).put("Region", "r");
        ObjectNode zones = node.putObject("Zones");
        Site.ZONES.forEach(z -> zones.put(z, "r"));
        node.putObject("Listen")
                .put("Front", "127.0.0.1:" + ports[0])
                .put("Readiness", "127.0.0.1:" + ports[1])
                .put("Control", "127.0.0.1:" + ports[2]);
        node.putArray("PortRange").add(ports[3]).add(ports[3]);
        node.putArray("Seeds");
        node.put("Bootstrap", true).put("Discovery", "platform").put("Entry", "vip").put("HeartbeatMs", 1_200);
        node.putObject("Limits").put("CpuShare", 0.75).put("Cores", 1).put("MemoryMb", 430).put("MaxFds", 4_100);
        // The bounds of the small deployments.
        node.putObject("Bounds")
                .put("ContactMs", Site.CONTACT_MS)
                .put("DrainMs", Site.DRAIN_MS)
                .put("GraceS", 8)
                .put("ConfigApplyMs", 2_000)
                .put("StrictRevoke", true)
                .put("RevokeMs", Site.REVOKE_MS)
                .put("RetryBudgetRatio", 0.2)
                .put("BudgetWindowS", 10)
                .put("BudgetSlack", 104)
                .put("EvacuateMs", 5_000);
        node.putObject("Platform")
                .put("Address", "127.0.0.1:" + store.getPort())
                .put("form", "kv")
                .put("WritesPerS", 400)
                .put("ReadsPerS", 2_000)
                .put("HistoryS", 20)
                .put("ValueBytes", 1_048_576)
                .put("TtlMinMs", 1_000);
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, node.toString());
        this.root = root;
        settings = file;
        log = folder.resolve(name + ".log");
        command = List.of(command(root).split(" "));
        process = start();
    }

    private Process start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.directory(root.toFile());
        builder.environment().put("JUJUBEROUTER_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        return builder.start();
    }

    /** Returns the command of the role in the deploy file. */
    private static String command(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no command in deploy/system.toml");
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    boolean isReady() {
        try {
            HttpURLConnection c = (HttpURLConnection)
                    URI.create("http://127.0.0.1:" + readiness + "/v1/ready").toURL().openConnection();
            c.setConnectTimeout(500);
            c.setReadTimeout(500);
            return c.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
