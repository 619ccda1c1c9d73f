package org.jujuberouter.cli;

import com.fasterxml.jackson.databind.node.TextNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.settings.SettingTarget;
import org.jujuberouter.settings.Settings;
import org.jujuberouter.settings.SettingsChange;
import org.jujuberouter.settings.SettingsDocument;
import org.jujuberouter.settings.SettingsEditor;
import org.jujuberouter.settings.SettingsException;
import org.jujuberouter.settings.SettingsSchema;
import org.jujuberouter.store.PlatformException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Creates, lists, drains, restores and deletes failure domains. */
@Command(
        name = "domain",
        mixinStandardHelpOptions = true,
        subcommands = {
            DomainCommand.Create.class,
            DomainCommand.Show.class,
            DomainCommand.Drain.class,
            DomainCommand.Restore.class,
            DomainCommand.Delete.class
        },
        description = "Takes failure domains out of service and brings them back.")
final class DomainCommand extends GroupCommand {
    /** Creates a failure domain. */
    @Command(name = "create", description = "Creates a failure domain.")
    static final class Create extends ChangeCommand {
        @Parameters(paramLabel = "NAME", description = "The name of the failure domain.")
        private String name;

        @Option(names = "--region", required = true, description = "The region that it belongs to.")
        private String region;

        @Override
        Optional<SettingsChange> build(SettingsDocument current, SettingsChange change) throws RefusedException {
            String path = new SettingTarget.Domain(FailureDomain.of(name)).path(SettingsSchema.REGION);
            if (current.values().containsKey(path)) {
                throw RefusedException.of("failure domain \"" + name + "\" exists already");
            }
            return Optional.of(change.set(path, TextNode.valueOf(region)));
        }

        @Override
        String defaultSummary() {
            return "create domain " + name;
        }
    }

    /** Lists the failure domains. */
    @Command(name = "list", description = "Lists the failure domains with region and whether they are drained.")
    static final class Show extends StoreCommand {
        @Override
        int run(SettingsEditor editor) throws PlatformException, SettingsException {
            Settings settings = Settings.of(editor.read());
            List<Map<String, Object>> rows = new ArrayList<>();
            for (FailureDomain d : settings.domains()) {
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("domain", d.value());
                settings.effective(new SettingTarget.Domain(d), SettingsSchema.REGION)
                        .ifPresent(v -> row.put("region", v.value().asText()));
                row.put("drained", settings.isDrained(d));
                rows.add(row);
            }
            Tables.print(this, "domains", rows);
            return ExitCodes.DONE;
        }
    }

    /** Takes failure domains out of service. */
    @Command(name = "drain", description = "Takes failure domains out of service: they receive no new work.")
    static final class Drain extends DrainCommand {
        Drain() {
            super("domain", true);
        }
    }

    /** Brings failure domains back. */
    @Command(name = "restore", description = "Brings failure domains back into service.")
    static final class Restore extends DrainCommand {
        Restore() {
            super("domain", false);
        }
    }

    /** Deletes a failure domain. */
    @Command(name = "delete", description = "Deletes a failure domain from the settings.")
    static final class Delete extends ChangeCommand {
        @Parameters(paramLabel = "NAME", description = "The name of the failure domain.")
        private String name;

        @Override
        Optional<SettingsChange> build(SettingsDocument current, SettingsChange change) throws RefusedException {
            return Optional.of(Tables.unsetAll(
                    current, change, "failure domain \"" + name + "\"", p -> p.startsWith("domain/" + name + "/")));
        }

        @Override
        String defaultSummary() {
            return "delete domain " + name;
        }
    }
}
