package org.jujuberouter.cli;

import java.util.concurrent.Callable;
import org.jujuberouter.demo.Demo;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the main job on an embedded site. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Starts stand-ins and instances on loopback in this process, sends short, long and non-idempotent"
                + " requests, causes faults, and prints what each caller got.",
        exitCodeList = {"0: every promise of the run held", "1: a promise broke"})
public final class DemoCommand implements Callable<Integer> {
    @Option(
            names = "--keep",
            description = "Start the site only and keep it running, for trials with the other commands.")
    private boolean keep;

    @Option(names = "--verbose", description = "Show the log of the instances.")
    private boolean verbose;

    @Override
    public Integer call() throws Exception {
        LogSetup.install(verbose ? LogSetup.LogLevel.INFO : LogSetup.LogLevel.ERROR);
        if (keep) {
            Demo.runUntilInterrupted(System.out);
        }
        boolean held = Demo.run(System.out);
        return held ? 0 : 1;
    }
}
