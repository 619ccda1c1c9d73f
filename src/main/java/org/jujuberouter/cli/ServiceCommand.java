package org.jujuberouter.cli;

import com.fasterxml.jackson.databind.node.TextNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujuberouter.id.ModelName;
import org.jujuberouter.id.ServiceName;
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

/** Creates, lists and deletes services. */
@Command(
        name = "service",
        mixinStandardHelpOptions = true,
        subcommands = {ServiceCommand.Create.class, ServiceCommand.Show.class, ServiceCommand.Delete.class},
        description = "Creates, lists and deletes services.")
final class ServiceCommand extends GroupCommand {
    /** Creates a service. */
    @Command(name = "create", description = "Creates a service, with its models in the same change.")
    static final class Create extends ChangeCommand {
        @Parameters(paramLabel = "NAME", description = "The name of the service.")
        private String name;

        @Option(names = "--kind", required = true, description = "inference or plain.")
        private String kind;

        @Option(
                names = "--model",
                paramLabel = "MODEL=VERSIONS",
                description = "A model with its versions separated by commas; may be repeated.")
        private Map<String, String> models = new LinkedHashMap<>();

        @Override
        Optional<SettingsChange> build(SettingsDocument current, SettingsChange change) throws RefusedException {
            ServiceName service = ServiceName.of(name);
            String marker = new SettingTarget.Service(service).path(SettingsSchema.KIND);
            if (current.values().containsKey(marker)) {
                throw RefusedException.of("service \"" + name + "\" exists already");
            }
            SettingsChange all = change.set(marker, TextNode.valueOf(kind));
            for (Map.Entry<String, String> e : models.entrySet()) {
                String path = new SettingTarget.Model(service, ModelName.of(e.getKey())).path(SettingsSchema.VERSIONS);
                all = all.set(path, Values.parse(path, e.getValue()));
            }
            return Optional.of(all);
        }

        @Override
        String defaultSummary() {
            return "create service " + name;
        }
    }

    /** Lists the services. */
    @Command(name = "list", description = "Lists the services with kind and models.")
    static final class Show extends StoreCommand {
        @Override
        int run(SettingsEditor editor) throws PlatformException, SettingsException {
            Settings settings = Settings.of(editor.read());
            List<Map<String, Object>> rows = new ArrayList<>();
            for (ServiceName s : settings.services()) {
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("service", s.value());
                row.put("kind", settings.isInference(s) ? "inference" : "plain");
                row.put(
                        "models",
                        settings.models(s).stream().map(ModelName::value).toList());
                rows.add(row);
            }
            Tables.print(this, "services", rows);
            return ExitCodes.DONE;
        }
    }

    /** Deletes a service. */
    @Command(name = "delete", description = "Deletes a service with all settings under it.")
    static final class Delete extends ChangeCommand {
        @Parameters(paramLabel = "NAME", description = "The name of the service.")
        private String name;

        @Override
        Optional<SettingsChange> build(SettingsDocument current, SettingsChange change) throws RefusedException {
            return Optional.of(Tables.unsetAll(
                    current, change, "service \"" + name + "\"", p -> p.startsWith("service/" + name + "/")));
        }

        @Override
        String defaultSummary() {
            return "delete service " + name;
        }
    }
}
