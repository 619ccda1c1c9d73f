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

@Command(
        name = "service",
        mixinStandardHelpOptions = true,
        subcommands = {
            ServiceCommand.CreateService.class,
            ServiceCommand.ListServices.class,
            ServiceCommand.DeleteService.class
        },
        description = "Creates, lists and deletes services.")
final class ServiceCommand extends GroupCommand {
    @Command(name = "create", description = "Creates a service together with its models in one change.")
    static final class CreateService extends ChangeCommand {
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
            String kindPath = new SettingTarget.Service(service).path(SettingsSchema.KIND);
            if (current.values().containsKey(kindPath)) {
                throw RefusedException.of("service \"" + name + "\" exists already");
            }
            SettingsChange edited = change.set(kindPath, TextNode.valueOf(kind));
            for (Map.Entry<String, String> model : models.entrySet()) {
                String path =
                        new SettingTarget.Model(service, ModelName.of(model.getKey())).path(SettingsSchema.VERSIONS);
                edited = edited.set(path, SettingValueParser.parse(path, model.getValue()));
            }
            return Optional.of(edited);
        }

        @Override
        String defaultSummary() {
            return "create service " + name;
        }
    }

    @Command(name = "list", description = "Lists the services with their kind and models.")
    static final class ListServices extends StoreCommand {
        @Override
        int run(SettingsEditor editor) throws PlatformException, SettingsException {
            Settings settings = Settings.of(editor.read());
            List<Map<String, Object>> rows = new ArrayList<>();
            for (ServiceName serviceName : settings.services()) {
                Map<String, Object> row = new LinkedHashMap<>();
                row.put("service", serviceName.value());
                row.put("kind", settings.isInference(serviceName) ? "inference" : "plain");
                row.put(
                        "models",
                        settings.models(serviceName).stream()
                                .map(ModelName::value)
                                .toList());
                rows.add(row);
            }
            ResourceCommands.printRows(this, "services", rows);
            return ExitCodes.SUCCESS;
        }
    }

    @Command(name = "delete", description = "Deletes a service with all its settings.")
    static final class DeleteService extends ChangeCommand {
        @Parameters(paramLabel = "NAME", description = "The name of the service.")
        private String name;

        @Override
        Optional<SettingsChange> build(SettingsDocument current, SettingsChange change) throws RefusedException {
            return Optional.of(ResourceCommands.unsetMatching(
                    current,
                    change,
                    "service \"" + name + "\"",
                    settingPath -> settingPath.startsWith("service/" + name + "/")));
        }

        @Override
        String defaultSummary() {
            return "delete service " + name;
        }
    }
}
