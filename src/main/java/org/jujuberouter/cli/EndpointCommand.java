package org.jujuberouter.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.settings.Settings;
import org.jujuberouter.settings.SettingsDocument;
import org.jujuberouter.settings.SettingsEditor;
import org.jujuberouter.settings.SettingsException;
import org.jujuberouter.store.HttpMemberList;
import org.jujuberouter.store.ListedMember;
import org.jujuberouter.store.PlatformException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "endpoint",
        mixinStandardHelpOptions = true,
        subcommands = {
            EndpointCommand.ListEndpoints.class,
            EndpointCommand.DrainEndpoints.class,
            EndpointCommand.RestoreEndpoints.class
        },
        description = "Lists endpoints, takes them out of service and brings them back.")
final class EndpointCommand extends GroupCommand {
    @Command(
            name = "list",
            description = "Lists the endpoints that have settings and, with --list, those on the platform's list.")
    static final class ListEndpoints extends StoreCommand {
        @Option(
                names = "--list",
                paramLabel = "URL",
                defaultValue = "${env:JUJUBEROUTER_LIST}",
                description = "Address of the platform's list (default: $JUJUBEROUTER_LIST).")
        private String listAddress;

        @Override
        int run(SettingsEditor editor) throws PlatformException, SettingsException {
            SettingsDocument document = editor.read();
            Settings settings = Settings.of(document);
            Map<String, Map<String, Object>> rows = new LinkedHashMap<>();
            for (ListedMember member : platformMembers()) {
                if (member.role() != ListedMember.Role.INSTANCE) {
                    Map<String, Object> row = endpointRow(settings, member.name());
                    row.put("service", member.service());
                    row.put("domain", member.domain());
                    row.put("state", member.state());
                    rows.put(member.name(), row);
                }
            }
            for (String path : document.values().keySet()) {
                if (path.startsWith("endpoint/")) {
                    String name = path.split("/")[1];
                    rows.computeIfAbsent(name, n -> endpointRow(settings, n));
                }
            }
            ResourceCommands.printRows(this, "endpoints", new ArrayList<>(rows.values()));
            return ExitCodes.SUCCESS;
        }

        private List<ListedMember> platformMembers() throws PlatformException {
            if (listAddress == null || listAddress.isBlank()) {
                return List.of();
            }
            return HttpMemberList.at(Flags.httpAddress(listAddress)
                            .orElseThrow(() ->
                                    usageError("--list is \"" + listAddress + "\"; allowed: " + Flags.HTTP_ADDRESS)))
                    .read();
        }

        private static Map<String, Object> endpointRow(Settings settings, String name) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("endpoint", name);
            row.put("drained", settings.isDrained(EndpointId.of(name)));
            return row;
        }
    }

    @Command(name = "drain", description = "Takes endpoints out of service: they receive no new work.")
    static final class DrainEndpoints extends DrainCommand {
        DrainEndpoints() {
            super("endpoint", true);
        }
    }

    @Command(name = "restore", description = "Brings endpoints back into service.")
    static final class RestoreEndpoints extends DrainCommand {
        RestoreEndpoints() {
            super("endpoint", false);
        }
    }
}
