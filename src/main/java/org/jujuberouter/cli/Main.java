package org.jujuberouter.cli;

import java.util.Arrays;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the jujuberouter program. */
@Command(
        name = "jujuberouter",
        mixinStandardHelpOptions = true,
        version = "jujuberouter 0.1.0",
        subcommands = {
            DemoCommand.class,
            EntryCommand.class,
            ExperimentCommand.class,
            MeasureHopCommand.class,
            ServeCommand.class,
            TrainCommand.class,
            ExplainCommand.class
        },
        description = "Routes prompts of a thousand to a million tokens to many endpoints.")
public final class Main implements Callable<Integer> {
    private Main() {}

    /** Runs the subcommand given by the arguments and exits with its exit code. */
    public static void main(String[] args) {
        // LogManager reads the property when it is initialized. Calling a method of the subclass would initialize it
        // before the property is set; a class literal does not.
        System.setProperty("java.util.logging.manager", ShutdownSafeLogManager.class.getName());
        if (args.length > 0 && args[0].equals(ServeCommand.NAME)) {
            SighupHandler.catchSignal();
            // Building all commands and parsing arguments would take longer than the rest of an instance's startup.
            System.exit(
                    args.length == 1
                            ? ServeCommand.runWithDefaults()
                            : new CommandLine(new ServeCommand()).execute(Arrays.copyOfRange(args, 1, args.length)));
        }
        CommandLine root = OperatorCommands.addTo(new CommandLine(new Main()));
        System.exit(root.addSubcommand(LoadCommand.of())
                .addSubcommand(MeasureCapacityCommand.of())
                .addSubcommand(MeasurePeerCommand.of())
                .addSubcommand(ReplayCommand.of())
                .addSubcommand(ReportCommand.of())
                .execute(args));
    }

    @Override
    public Integer call() {
        CommandLine.usage(this, System.out);
        return CommandLine.ExitCode.USAGE;
    }
}
