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

@Command(
        name = "domain",
        mixinStandardHelpOptions = true,
        subcommands = {
            DomainCommand.CreateDomain.class,
            DomainCommand.ListDomains.class,
            DomainCommand.DrainDomains.class,
            DomainCommand.RestoreDomains.class,
            DomainCommand.DeleteDomain.class
        },
        description = "Manages failure domains and takes them in and out of service.")
final class DomainCommand extends GroupCommand {
    @Command(name = "create", description = "Creates a failure domain.")
    static final class CreateDomain extends ChangeCommand {
        @Parameters(paramLabel = "NAME", description = "The name of the failure domain.")
        private String name;

        @Option(names = "--region", required = true, description = "The region of the failure domain.")
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

    @Command(name = "list", description = "Lists the failure domains with their region and whether they are drained.")
    static final class ListDomains extends StoreCommand {
        @Override
        int run(SettingsEditor editor) throws PlatformException, SettingsException {
            Settings settings = Settings.of(editor.read());
            List<Map<String, Object>> rows = new ArrayList<>();
            for (FailureDomain failureDomain : settings.domains()) {
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("domain", failureDomain.value());
                settings.effective(new SettingTarget.Domain(failureDomain), SettingsSchema.REGION)
                        .ifPresent(v -> row.put("region", v.value().asText()));
                row.put("drained", settings.isDrained(failureDomain));
                rows.add(row);
            }
            ResourceCommands.printRows(this, "domains", rows);
            return ExitCodes.SUCCESS;
        }
    }

    @Command(name = "drain", description = "Takes failure domains out of service: they receive no new work.")
    static final class DrainDomains extends DrainCommand {
        DrainDomains() {
            super("domain", true);
        }
    }

    @Command(name = "restore", description = "Brings failure domains back into service.")
    static final class RestoreDomains extends DrainCommand {
        RestoreDomains() {
            super("domain", false);
        }
    }

    @Command(name = "delete", description = "Deletes a failure domain from the settings.")
    static final class DeleteDomain extends ChangeCommand {
        @Parameters(paramLabel = "NAME", description = "The name of the failure domain.")
        private String name;

        @Override
        Optional<SettingsChange> build(SettingsDocument current, SettingsChange change) throws RefusedException {
            return Optional.of(ResourceCommands.unsetMatching(
                    current,
                    change,
                    "failure domain \"" + name + "\"",
                    settingPath -> settingPath.startsWith("domain/" + name + "/")));
        }

        @Override
        String defaultSummary() {
            return "delete domain " + name;
        }
    }
}
