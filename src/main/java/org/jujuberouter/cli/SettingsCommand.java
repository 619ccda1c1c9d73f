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

/** Reads and changes the operators' settings. */
@Command(
        name = "settings",
        mixinStandardHelpOptions = true,
        subcommands = {
            SettingsCommand.Get.class,
            SettingsCommand.Set.class,
            SettingsCommand.Unset.class,
            SettingsCommand.Effective.class,
            SettingsCommand.History.class,
            SettingsCommand.Schema.class,
            SettingsCommand.Export.class,
            SettingsCommand.Import.class
        },
        description = "Reads and changes the operators' settings in the platform store.")
final class SettingsCommand extends GroupCommand {
    /** Shows values as they are set. */
    @Command(name = "get", description = "Shows the values that are set, without inheritance.")
    static final class Get extends StoreCommand {
        @Parameters(arity = "0..1", defaultValue = "", paramLabel = "PATH", description = "A path or the start of one.")
        private String path;

        @Override
        int run(SettingsEditor editor) throws PlatformException, SettingsException, RefusedException {
            SettingsDocument document = editor.read();
            Map<String, JsonNode> found = new TreeMap<>();
            document.values().forEach((p, v) -> {
                if (p.equals(path) || path.isEmpty() || p.startsWith(path.endsWith("/") ? path : path + "/")) {
                    found.put(p, v);
                }
            });
            if (found.isEmpty() && !path.isEmpty()) {
                throw RefusedException.of("no value is set at or under \"" + path + "\"");
            }
            if (isJson()) {
                printJson(Map.of("version", document.version(), "values", found));
            } else {
                found.forEach((p, v) -> print(p + " = " + v));
            }
            return ExitCodes.DONE;
        }
    }

    /** Sets values. */
    @Command(name = "set", description = "Sets one or more values in one change.")
    static final class Set extends ChangeCommand {
        @Parameters(
                arity = "1..*",
                paramLabel = "PATH=VALUE",
                description = "Path and value, such as service/assistant/weight=2. Lists are separated by commas.")
        private List<String> values;

        @Override
        Optional<SettingsChange> build(SettingsDocument current, SettingsChange change) {
            SettingsChange all = change;
            for (String text : values) {
                int eq = text.indexOf('=');
                if (eq <= 0) {
                    throw usage("\"" + text + "\" is not of the form PATH=VALUE");
                }
                all = all.set(text.substring(0, eq), Values.parse(text.substring(0, eq), text.substring(eq + 1)));
            }
            return Optional.of(all);
        }

        @Override
        String defaultSummary() {
            return "set " + String.join(" ", values);
        }
    }

    /** Removes values. */
    @Command(name = "unset", description = "Removes one or more values in one change; inherited values then apply.")
    static final class Unset extends ChangeCommand {
        @Parameters(arity = "1..*", paramLabel = "PATH", description = "Paths whose value is removed.")
        private List<String> paths;

        @Override
        Optional<SettingsChange> build(SettingsDocument current, SettingsChange change) {
            SettingsChange all = change;
            for (String path : paths) {
                all = all.unset(path);
            }
            return Optional.of(all);
        }

        @Override
        String defaultSummary() {
            return "unset " + String.join(" ", paths);
        }
    }

    /** Shows values with inheritance. */
    @Command(name = "effective", description = "Shows the values in force at a target and where each comes from.")
    static final class Effective extends StoreCommand {
        @Parameters(paramLabel = "TARGET", description = "Such as global or service/assistant/customer/depot.")
        private String target;

        @Option(names = "--setting", paramLabel = "NAME", description = "Show only this setting.")
        private String only;

        @Override
        int run(SettingsEditor editor) throws PlatformException, SettingsException {
            SettingTarget at = SettingTarget.parse(target)
                    .orElseThrow(() -> usage("\"" + target + "\" is not a target; see settings schema"));
            if (only != null && SettingsSchema.standard().find(only).isEmpty()) {
                throw usage("setting \"" + only + "\" does not exist; see settings schema");
            }
            Settings settings = Settings.of(editor.read());
            Map<String, EffectiveValue> found = new LinkedHashMap<>();
            for (Setting s : SettingsSchema.standard().settings()) {
                if (s.patterns().contains(at.pattern()) && (only == null || only.equals(s.name()))) {
                    settings.effective(at, s.name()).ifPresent(v -> found.put(s.name(), v));
                }
            }
            if (isJson()) {
                printJson(Map.of("version", settings.version(), "target", target, "values", found));
            } else {
                found.forEach((n, v) -> print(n + " = " + v.value() + "  (" + v.source() + ")"));
            }
            return ExitCodes.DONE;
        }
    }

    /** Shows the last changes. */
    @Command(name = "history", description = "Shows the last changes, newest first.")
    static final class History extends StoreCommand {
        @Option(names = "--limit", defaultValue = "20", description = "How many (default ${DEFAULT-VALUE}).")
        private int limit;

        @Override
        int run(SettingsEditor editor) throws PlatformException, SettingsException {
            List<ChangeRecord> last =
                    editor.read().history().reversed().stream().limit(limit).toList();
            if (isJson()) {
                printJson(Map.of("changes", last));
            } else {
                last.forEach(c -> print(HistoryText.line(c)));
            }
            return ExitCodes.DONE;
        }
    }

    /** Shows the schema, without a store. */
    @Command(name = "schema", mixinStandardHelpOptions = true, description = "Shows all settings that exist.")
    static final class Schema implements java.util.concurrent.Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Option(names = "--output", defaultValue = "text", description = "text, json or markdown (default text).")
        private String output;

        @Override
        public Integer call() throws IOException {
            String text = SchemaText.of(output)
                    .orElseThrow(() -> new picocli.CommandLine.ParameterException(
                            spec.commandLine(), "--output is \"" + output + "\"; allowed: text, json, markdown"));
            spec.commandLine().getOut().print(text);
            spec.commandLine().getOut().flush();
            return ExitCodes.DONE;
        }
    }

    /** Writes all values as JSON. */
    @Command(name = "export", description = "Writes version and values as JSON, for a backup or for import.")
    static final class Export extends StoreCommand {
        @Option(names = "--file", paramLabel = "FILE", description = "Where to write (default standard output).")
        private Path file;

        @Override
        int run(SettingsEditor editor) throws PlatformException, SettingsException, IOException {
            SettingsDocument document = editor.read();
            Map<String, Object> all = new LinkedHashMap<>();
            all.put("version", document.version());
            all.put("values", document.values());
            if (file == null) {
                printJson(all);
            } else {
                Files.writeString(file, JSON.writeValueAsString(all) + System.lineSeparator());
                print("wrote " + document.values().size() + " values of version " + document.version());
            }
            return ExitCodes.DONE;
        }
    }

    /** Sets values from a file. */
    @Command(name = "import", description = "Sets the values in a file that export wrote, in one change.")
    static final class Import extends ChangeCommand {
        @Parameters(paramLabel = "FILE", description = "JSON as written by export.")
        private Path file;

        @Option(names = "--replace", description = "Also remove all values that the file does not have.")
        private boolean replace;

        @Option(
                names = "--above-version",
                paramLabel = "N",
                defaultValue = "0",
                description = "Make the new version higher than N: after the store was restored to an older state,"
                        + " instances take no version up to the one they have.")
        private long above;

        @Override
        Optional<SettingsChange> build(SettingsDocument current, SettingsChange change)
                throws RefusedException, IOException, SettingsException {
            if (!Files.isReadable(file)) {
                throw RefusedException.of("the file " + file + " cannot be read");
            }
            Map<String, JsonNode> wanted =
                    SettingsDocument.decode(Files.readAllBytes(file)).values();
            SettingsChange all = change.withVersionAbove(above);
            for (Map.Entry<String, JsonNode> e : wanted.entrySet()) {
                if (above > 0 || !e.getValue().equals(current.values().get(e.getKey()))) {
                    all = all.set(e.getKey(), e.getValue());
                }
            }
            if (replace) {
                for (String path : current.values().keySet()) {
                    all = wanted.containsKey(path) ? all : all.unset(path);
                }
            }
            return all.edits().isEmpty() ? Optional.empty() : Optional.of(all);
        }

        @Override
        String defaultSummary() {
            return "import " + file.getFileName();
        }
    }
}
