package org.jujuberouter.process;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.jujuberouter.misc.Json;
import org.jujuberouter.platform.standin.StandinSite;

/** Instances of the {@code serve} command as processes before the stand-ins of a site. */
final class ServeProcesses implements AutoCloseable {
    private static final long EXIT_TIMEOUT_S = 15;

    private final StandinSite site;
    private final Path directory;
    private final List<URI> bases = new ArrayList<>();
    private final List<ChildProcess> processes = new ArrayList<>();

    private ServeProcesses(StandinSite site, Path directory) {
        this.site = site;
        this.directory = directory;
    }

    /** Starts instances whose node files are changed by the given function. */
    static ServeProcesses start(StandinSite site, Path directory, int count, Consumer<ObjectNode> settings)
            throws IOException {
        ServeProcesses started = new ServeProcesses(site, directory);
        for (int i = 0; i < count; i++) {
            Path file = started.nodeFile(i);
            started.bases.add(URI.create("http://127.0.0.1:"
                    + site.writeNodeFile(file, "instance-" + i).getPort()));
            started.changeSettings(i, settings);
            started.processes.add(started.startProcess(i));
        }
        return started;
    }

    /** Returns the address at which callers reach an instance. */
    URI base(int i) {
        return bases.get(i);
    }

    /** Changes the node file that an instance reads at its next start. */
    void changeSettings(int i, Consumer<ObjectNode> settings) throws IOException {
        ObjectNode node = (ObjectNode) Json.MAPPER.readTree(Files.readString(nodeFile(i)));
        settings.accept(node);
        Files.writeString(nodeFile(i), node.toString());
    }

    /** Ends an instance with the signal, waits for its exit and starts it again. */
    void restart(int i, String signal) throws IOException, InterruptedException {
        processes.get(i).signal(signal);
        processes.get(i).awaitExit(EXIT_TIMEOUT_S);
        processes.set(i, startProcess(i));
    }

    private Path nodeFile(int i) {
        return directory.resolve("node-" + i + ".json");
    }

    private ChildProcess startProcess(int i) throws IOException {
        return ChildProcess.startWithOutputFile(
                directory.resolve("log-" + i + "-" + System.nanoTime()),
                "serve",
                "--node-file",
                nodeFile(i).toString());
    }

    /** Kills the instances and closes the site. */
    @Override
    public void close() {
        processes.forEach(ChildProcess::kill);
        site.close();
    }
}
