package org.jujuberouter.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Groups the report commands. */
@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        subcommands = SloBurnCommand.class,
        description = "Reports on recorded runs and running instances.")
public final class ReportCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    private ReportCommand() {}

    public static ReportCommand of() {
        return new ReportCommand();
    }

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getOut());
        return CommandLine.ExitCode.USAGE;
    }
}
