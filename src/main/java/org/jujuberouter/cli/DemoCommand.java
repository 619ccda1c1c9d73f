package org.jujuberouter.cli;

import java.util.concurrent.Callable;
import org.jujuberouter.demo.Demo;
import picocli.CommandLine.Command;

/** Runs the main job on an embedded site. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Starts stand-ins and instances on loopback in this process, sends short, long and non-idempotent"
                + " requests, causes faults, and prints what each caller got.",
        exitCodeList = {"0: every promise of the run held", "1: a promise broke"})
public final class DemoCommand implements Callable<Integer> {
    @Override
    public Integer call() throws Exception {
        boolean held = Demo.run(System.out);
        System.out.flush();
        // The JDK's HTTP client keeps its selector threads; ending here avoids waiting for them.
        return held ? 0 : 1;
    }
}
