package org.jujuberouter.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jujuberouter.settings.ChangeRecord;
import org.jujuberouter.settings.EffectiveValue;
import org.jujuberouter.settings.Setting;
import org.jujuberouter.settings.SettingTarget;
import org.jujuberouter.settings.Settings;
import org.jujuberouter.settings.SettingsChange;
import org.jujuberouter.settings.SettingsDocument;
import org.jujuberouter.settings.SettingsEditor;
import org.jujuberouter.settings.SettingsException;
import org.jujuberouter.settings.SettingsSchema;
import org.jujuberouter.store.PlatformException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Reads and changes the operator settings. */
@Command(
        name = "settings",
        mixinStandardHelpOptions = true,
        subcommands = {
            SettingsCommand.GetSettings.class,
            SettingsCommand.SetSettings.class,
            SettingsCommand.UnsetSettings.class,
            SettingsCommand.ShowEffectiveSettings.class,
            SettingsCommand.ShowHistory.class,
            SettingsCommand.ShowSchema.class,
            SettingsCommand.ExportSettings.class,
            SettingsCommand.ImportSettings.class
        },
        description = "Reads and changes the operator settings in the platform store.")
final class SettingsCommand extends GroupCommand {
    @Command(name = "get", description = "Shows the stored values, without inheritance.")
    static final class GetSettings extends StoreCommand {
        @Parameters(
                arity = "0..1",
                defaultValue = "",
                paramLabel = "PATH",
                description = "A path or a leading part of one.")
        private String path;

        @Override
        int run(SettingsEditor editor) throws PlatformException, SettingsException, RefusedException {
            SettingsDocument document = editor.read();
            Map<String, JsonNode> matching = new TreeMap<>();
            document.values().forEach((settingPath, value) -> {
                if (settingPath.equals(path)
                        || path.isEmpty()
                        || settingPath.startsWith(path.endsWith("/") ? path : path + "/")) {
                    matching.put(settingPath, value);
                }
            });
            if (matching.isEmpty() && !path.isEmpty()) {
                throw RefusedException.of("no value is set at or under \"" + path + "\"");
            }
            if (isJson()) {
                printJson(Map.of("version", document.version(), "values", matching));
            } else {
                matching.forEach((settingPath, value) -> print(settingPath + " = " + value));
            }
            return ExitCodes.SUCCESS;
        }
    }

    @Command(name = "set", description = "Sets one or more values in one change.")
    static final class SetSettings extends ChangeCommand {
        @Parameters(
                arity = "1..*",
                paramLabel = "PATH=VALUE",
                description = "Path and value, such as service/assistant/weight=2. Lists are separated by commas.")
        private List<String> values;

        @Override
        Optional<SettingsChange> build(SettingsDocument current, SettingsChange change) {
            SettingsChange edited = change;
            for (String text : values) {
                int separator = text.indexOf('=');
                if (separator <= 0) {
                    throw usageError("\"" + text + "\" is not of the form PATH=VALUE");
                }
                edited = edited.set(
                        text.substring(0, separator),
                        SettingValueParser.parse(text.substring(0, separator), text.substring(separator + 1)));
            }
            return Optional.of(edited);
        }

        @Override
        String defaultSummary() {
            return "set " + String.join(" ", values);
        }
    }

    @Command(name = "unset", description = "Removes one or more values in one change; inherited values apply instead.")
    static final class UnsetSettings extends ChangeCommand {
        @Parameters(arity = "1..*", paramLabel = "PATH", description = "Paths of the values to remove.")
        private List<String> paths;

        @Override
        Optional<SettingsChange> build(SettingsDocument current, SettingsChange change) {
            SettingsChange edited = change;
            for (String path : paths) {
                edited = edited.unset(path);
            }
            return Optional.of(edited);
        }

        @Override
        String defaultSummary() {
            return "unset " + String.join(" ", paths);
        }
    }

    @Command(name = "effective", description = "Shows the effective values at a target and the source of each.")
    static final class ShowEffectiveSettings extends StoreCommand {
        @Parameters(paramLabel = "TARGET", description = "A target such as global or service/assistant/customer/depot.")
        private String target;

        @Option(names = "--setting", paramLabel = "NAME", description = "Show only this setting.")
        private String settingName;

        @Override
        int run(SettingsEditor editor) throws PlatformException, SettingsException {
            SettingTarget settingTarget = SettingTarget.parse(target)
                    .orElseThrow(() -> usageError("\"" + target + "\" is not a target; see settings schema"));
            if (settingName != null
                    && SettingsSchema.standard().find(settingName).isEmpty()) {
                throw usageError("setting \"" + settingName + "\" does not exist; see settings schema");
            }
            Settings settings = Settings.of(editor.read());
            Map<String, EffectiveValue> matching = new LinkedHashMap<>();
            for (Setting setting : SettingsSchema.standard().settings()) {
                if (setting.patterns().contains(settingTarget.pattern())
                        && (settingName == null || settingName.equals(setting.name()))) {
                    settings.effective(settingTarget, setting.name())
                            .ifPresent(value -> matching.put(setting.name(), value));
                }
            }
            if (isJson()) {
                printJson(Map.of("version", settings.version(), "target", target, "values", matching));
            } else {
                matching.forEach((name, value) -> print(name + " = " + value.value() + "  (" + value.source() + ")"));
            }
            return ExitCodes.SUCCESS;
        }
    }

    @Command(name = "history", description = "Shows the most recent changes, newest first.")
    static final class ShowHistory extends StoreCommand {
        @Option(
                names = "--limit",
                defaultValue = "20",
                description = "Maximum number of changes (default ${DEFAULT-VALUE}).")
        private int limit;

        @Override
        int run(SettingsEditor editor) throws PlatformException, SettingsException {
            List<ChangeRecord> changes =
                    editor.read().history().reversed().stream().limit(limit).toList();
            if (isJson()) {
                printJson(Map.of("changes", changes));
            } else {
                changes.forEach(change -> print(ChangeFormatter.format(change)));
            }
            return ExitCodes.SUCCESS;
        }
    }

    /** Prints the schema; needs no store. */
    @Command(name = "schema", mixinStandardHelpOptions = true, description = "Shows the schema of all settings.")
    static final class ShowSchema implements java.util.concurrent.Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--output", defaultValue = "text", description = "text, json or markdown (default text).")
        private String output;

        @Override
        public Integer call() throws IOException {
            String text = SchemaFormatter.format(output)
                    .orElseThrow(() -> new picocli.CommandLine.ParameterException(
                            spec.commandLine(), "--output is \"" + output + "\"; allowed: text, json, markdown"));
            spec.commandLine().getOut().print(text);
            spec.commandLine().getOut().flush();
            return ExitCodes.SUCCESS;
        }
    }

    @Command(name = "export", description = "Writes the version and all values as JSON, for backup or import.")
    static final class ExportSettings extends StoreCommand {
        @Option(names = "--file", paramLabel = "FILE", description = "Output file (default: standard output).")
        private Path file;

        @Override
        int run(SettingsEditor editor) throws PlatformException, SettingsException, IOException {
            SettingsDocument document = editor.read();
            Map<String, Object> exported = new LinkedHashMap<>();
            exported.put("version", document.version());
            exported.put("values", document.values());
            if (file == null) {
                printJson(exported);
            } else {
                Files.writeString(file, JSON.writeValueAsString(exported) + System.lineSeparator());
                print("wrote " + document.values().size() + " values of version " + document.version());
            }
            return ExitCodes.SUCCESS;
        }
    }

    @Command(name = "import", description = "Sets the values of an exported file in one change.")
    static final class ImportSettings extends ChangeCommand {
        @Parameters(paramLabel = "FILE", description = "JSON file written by export.")
        private Path file;

        @Option(names = "--replace", description = "Also remove all values that are not in the file.")
        private boolean replace;

        @Option(
                names = "--above-version",
                paramLabel = "N",
                defaultValue = "0",
                description = "Make the new version greater than N. Needed after a restore of an older store state,"
                        + " since instances ignore versions up to the one they have.")
        private long aboveVersion;

        @Override
        Optional<SettingsChange> build(SettingsDocument current, SettingsChange change)
                throws RefusedException, IOException, SettingsException {
            if (!Files.isReadable(file)) {
                throw RefusedException.of("the file " + file + " cannot be read");
            }
            Map<String, JsonNode> imported =
                    SettingsDocument.decode(Files.readAllBytes(file)).values();
            SettingsChange edited = change.withVersionAbove(aboveVersion);
            for (Map.Entry<String, JsonNode> entry : imported.entrySet()) {
                if (aboveVersion > 0
                        || !entry.getValue().equals(current.values().get(entry.getKey()))) {
                    edited = edited.set(entry.getKey(), entry.getValue());
                }
            }
            if (replace) {
                for (String path : current.values().keySet()) {
                    edited = imported.containsKey(path) ? edited : edited.unset(path);
                }
            }
            return edited.edits().isEmpty() ? Optional.empty() : Optional.of(edited);
        }

        @Override
        String defaultSummary() {
            return "import " + file.getFileName();
        }
    }
}
