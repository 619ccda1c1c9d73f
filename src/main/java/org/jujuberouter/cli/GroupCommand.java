package org.jujuberouter.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** A command that only groups others; called by itself it shows its help. */
abstract class GroupCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return ExitCodes.USAGE;
    }
}
