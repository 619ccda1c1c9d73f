package org.jujuberouter.cli;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.Callable;
import org.jujuberouter.entry.EntryDaemon;
import org.jujuberouter.entry.EntryOptions;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.InstanceId;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one entry instance until it is told to stop. */
@Command(
        name = "entry",
        mixinStandardHelpOptions = true,
        description = "Runs one entry instance. SIGTERM stops it gracefully: new work is refused as not-run, work in"
                + " flight finishes.")
public final class EntryCommand implements Callable<Integer> {
    @Option(
            names = "--instance",
            required = true,
            defaultValue = "${env:JUJUBEROUTER_INSTANCE}",
            description = "Id of this instance (env JUJUBEROUTER_INSTANCE).")
    private String instance;

    @Option(
            names = "--domain",
            required = true,
            defaultValue = "${env:JUJUBEROUTER_DOMAIN}",
            description = "Failure domain of this instance (env JUJUBEROUTER_DOMAIN).")
    private String domain;

    @Option(
            names = "--listen",
            defaultValue = "${env:JUJUBEROUTER_LISTEN:-127.0.0.1:8400}",
            description = "Where callers connect (env JUJUBEROUTER_LISTEN, default 127.0.0.1:8400).")
    private String listen;

    @Option(
            names = "--peer-listen",
            defaultValue = "${env:JUJUBEROUTER_PEER_LISTEN:-127.0.0.1:8401}",
            description = "Where other instances connect (env JUJUBEROUTER_PEER_LISTEN, default 127.0.0.1:8401).")
    private String peerListen;

    @Option(
            names = "--store",
            defaultValue = "${env:JUJUBEROUTER_STORE:-http://127.0.0.1:8500}",
            description = "Address of the platform store (env JUJUBEROUTER_STORE, default http://127.0.0.1:8500).")
    private URI store;

    @Option(
            names = "--list",
            defaultValue = "${env:JUJUBEROUTER_LIST:-http://127.0.0.1:8510}",
            description = "Address of the platform's list (env JUJUBEROUTER_LIST, default http://127.0.0.1:8510).")
    private URI list;

    @Option(
            names = "--max-body-bytes",
            defaultValue = "${env:JUJUBEROUTER_MAX_BODY_BYTES:-16777216}",
            description = "Largest request body in bytes (env JUJUBEROUTER_MAX_BODY_BYTES, default 16777216).")
    private int maxBodyBytes;

    @Option(
            names = "--drain-timeout-ms",
            defaultValue = "${env:JUJUBEROUTER_DRAIN_TIMEOUT_MS:-900000}",
            description = "Longest wait for work in flight at a stop, in milliseconds"
                    + " (env JUJUBEROUTER_DRAIN_TIMEOUT_MS, default 900000).")
    private long drainTimeoutMs;

    @Override
    public Integer call() throws IOException, InterruptedException {
        EntryDaemon daemon = EntryDaemon.start(new EntryOptions(
                InstanceId.of(instance),
                FailureDomain.of(domain),
                EntryOptions.parseAddress(listen),
                EntryOptions.parseAddress(peerListen),
                store,
                list,
                maxBodyBytes,
                Duration.ofMillis(drainTimeoutMs)));
        System.out.println("entry at http:/" + daemon.address() + ", peers at " + daemon.peerAddress());
        StandinCommand.awaitStop(daemon);
        return 0;
    }
}
