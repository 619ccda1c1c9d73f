package org.jujuberouter.cli;

import java.util.concurrent.Callable;
import org.jujuberouter.demo.Demo;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the demonstration on a site within this process. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Starts stand-ins and instances on loopback in this process, sends short, long and non-idempotent"
                + " requests, injects faults, and prints the outcome for each caller.",
        exitCodeList = {"0: all guarantees were kept", "1: a guarantee was violated"})
public final class DemoCommand implements Callable<Integer> {
    @Option(names = "--keep", description = "Only start the site and keep it running, for use with the other commands.")
    private boolean keep;

    @Option(names = "--verbose", description = "Show the logs of the instances.")
    private boolean verbose;

    @Override
    public Integer call() throws Exception {
        LogSetup.install(verbose ? LogSetup.LogLevel.INFO : LogSetup.LogLevel.ERROR);
        if (keep) {
            Demo.runUntilInterrupted(System.out);
        }
        boolean passed = Demo.run(System.out);
        return passed ? 0 : 1;
    }
}
