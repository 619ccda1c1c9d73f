package org.jujuberouter.cli;

import java.util.List;
import picocli.AutoComplete;
import picocli.CommandLine;

/** Registers the operator commands and the stand-ins for the platform. */
public final class OperatorCommands {
    private OperatorCommands() {}

    /** Adds the commands to the root command and returns it. */
    public static CommandLine addTo(CommandLine root) {
        List.of(
                        new SettingsCommand(),
                        new ServiceCommand(),
                        new CustomerCommand(),
                        new DomainCommand(),
                        new EndpointCommand(),
                        new CheckConfigCommand(),
                        new StandinCommand())
                .forEach(root::addSubcommand);
        CommandLine completion = new CommandLine(new AutoComplete.GenerateCompletion());
        completion
                .getCommandSpec()
                .usageMessage()
                .description("Writes a completion script for bash and zsh: source <(jujuberouter completion)");
        root.addSubcommand("completion", completion);
        root.setCaseInsensitiveEnumValuesAllowed(true);
        return root;
    }
}
