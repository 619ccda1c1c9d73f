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

/** Lists, drains and restores endpoints. */
@Command(
        name = "endpoint",
        mixinStandardHelpOptions = true,
        subcommands = {EndpointCommand.Show.class, EndpointCommand.Drain.class, EndpointCommand.Restore.class},
        description = "Takes endpoints out of service and brings them back.")
final class EndpointCommand extends GroupCommand {
    /** Lists the endpoints. */
    @Command(
            name = "list",
            description = "Lists the endpoints that are drained, and with --list also those of the platform's list.")
    static final class Show extends StoreCommand {
        @Option(
                names = "--list",
                paramLabel = "URL",
                defaultValue = "${env:JUJUBEROUTER_LIST}",
                description = "Address of the platform's list; also JUJUBEROUTER_LIST.")
        private String list;

        @Override
        int run(SettingsEditor editor) throws PlatformException, SettingsException {
            SettingsDocument document = editor.read();
            Settings settings = Settings.of(document);
            Map<String, Map<String, Object>> rows = new LinkedHashMap<>();
            for (ListedMember m : listed()) {
                if (m.role() != ListedMember.Role.INSTANCE) {
                    Map<String, Object> row = row(settings, m.name());
                    row.put("service", m.service());
                    row.put("domain", m.domain());
                    row.put("state", m.state());
                    rows.put(m.name(), row);
                }
            }
            for (String path : document.values().keySet()) {
                if (path.startsWith("endpoint/")) {
                    String name = path.split("/")[1];
                    rows.computeIfAbsent(name, n -> row(settings, n));
                }
            }
            Tables.print(this, "endpoints", new ArrayList<>(rows.values()));
            return ExitCodes.DONE;
        }

        private List<ListedMember> listed() throws PlatformException {
            if (list == null || list.isBlank()) {
                return List.of();
            }
            return HttpMemberList.at(Flags.httpAddress(list)
                            .orElseThrow(() -> usage("--list is \"" + list + "\"; allowed: " + Flags.HTTP_ADDRESS)))
                    .read();
        }

        private static Map<String, Object> row(Settings settings, String name) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("endpoint", name);
            row.put("drained", settings.isDrained(EndpointId.of(name)));
            return row;
        }
    }

    /** Takes endpoints out of service. */
    @Command(name = "drain", description = "Takes endpoints out of service: they receive no new work.")
    static final class Drain extends DrainCommand {
        Drain() {
            super("endpoint", true);
        }
    }

    /** Brings endpoints back. */
    @Command(name = "restore", description = "Brings endpoints back into service.")
    static final class Restore extends DrainCommand {
        Restore() {
            super("endpoint", false);
        }
    }
}
