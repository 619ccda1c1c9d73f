package org.jujuberouter.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Base class of commands that only group subcommands; without a subcommand it prints the usage. */
abstract class GroupCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return ExitCodes.USAGE;
    }
}
