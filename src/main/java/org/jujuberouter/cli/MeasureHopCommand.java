package org.jujuberouter.cli;

import java.util.concurrent.Callable;
import org.jujuberouter.demo.HopMeasurement;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the latency that one instance adds to the first token. */
@Command(
        name = "measure-hop",
        mixinStandardHelpOptions = true,
        description = "Compares the time to the first token through an instance with direct requests, on loopback.")
public final class MeasureHopCommand implements Callable<Integer> {
    @Option(
            names = "--requests",
            defaultValue = "1000",
            description = "Requests on each path (default ${DEFAULT-VALUE}).")
    private int requests;

    @Override
    public Integer call() throws Exception {
        LogSetup.install(LogSetup.LogLevel.ERROR);
        HopMeasurement.run(requests, System.out);
        return 0;
    }
}
