package org.jujuberouter.cli;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import org.jujuberouter.settings.ChangeRecord;
import org.jujuberouter.settings.SettingsChange;
import org.jujuberouter.settings.SettingsDocument;
import org.jujuberouter.settings.SettingsEditor;
import org.jujuberouter.settings.SettingsError;
import org.jujuberouter.settings.SettingsException;
import org.jujuberouter.settings.SettingsResult;
import org.jujuberouter.store.PlatformException;
import picocli.CommandLine.Option;

/** Base class of the commands that change settings: reads the settings, applies a change and reports its outcome. */
abstract class ChangeCommand extends StoreCommand {
    @Option(
            names = "--author",
            defaultValue = "${sys:user.name}",
            description = "Author recorded in the history (default ${DEFAULT-VALUE}).")
    private String author;

    @Option(names = "--summary", paramLabel = "TEXT", description = "Purpose of the change, recorded in the history.")
    private String summary;

    @Option(
            names = "--if-version",
            paramLabel = "N",
            description = "The version on which the change is based (default: the current version in the store).")
    private Long ifVersion;

    @Option(
            names = "--no-rebase",
            description = "Refuse the change if any other change was made first, even to other paths.")
    private boolean noRebase;

    @Option(
            names = "--change-id",
            paramLabel = "ID",
            description = "Unique id of the change. Repeat the id of a change to learn an unknown outcome.")
    private String changeId;

    /** Adds the edits to the given change; empty if nothing needs to be changed. */
    abstract Optional<SettingsChange> build(SettingsDocument current, SettingsChange change)
            throws RefusedException, IOException, SettingsException;

    /** Returns the summary recorded in the history if the operator gives none. */
    abstract String defaultSummary();

    /** Prints or adds to the JSON what is specific to the command, once the change is or may be in force. */
    void printDetails(Map<String, Object> json) {}

    @Override
    final int run(SettingsEditor editor)
            throws PlatformException, SettingsException, RefusedException, IOException, InterruptedException {
        SettingsDocument current = editor.read();
        String id = changeId == null ? UUID.randomUUID().toString() : changeId;
        Optional<ChangeRecord> applied = current.find(id);
        if (applied.isPresent()) {
            return report(id, new SettingsResult.Accepted(applied.get(), true));
        }
        long baseVersion = ifVersion == null ? current.version() : ifVersion;
        String historySummary = summary == null ? defaultSummary() : summary;
        SettingsChange emptyChange = SettingsChange.of(
                        id, author, System.currentTimeMillis(), historySummary, baseVersion)
                .withRebase(!noRebase);
        Optional<SettingsChange> change = build(current, emptyChange);
        if (change.isEmpty()) {
            if (isJson()) {
                printJson(Map.of("result", "unchanged", "version", current.version()));
            } else {
                print("nothing to change, version " + current.version());
            }
            return ExitCodes.SUCCESS;
        }
        return report(id, editor.apply(change.get()));
    }

    private int report(String id, SettingsResult result) {
        Map<String, Object> json = new LinkedHashMap<>();
        int code = switch (result) {
            case SettingsResult.Accepted accepted -> {
                json.put("result", "accepted");
                json.put("version", accepted.record().version());
                json.put("resolved", accepted.resolved());
                printUnlessJson(
                        true,
                        "done, version " + accepted.record().version()
                                + (accepted.resolved() ? " (found by its change id)" : ""));
                yield ExitCodes.SUCCESS;
            }
            case SettingsResult.Conflict conflict -> {
                json.put("result", "conflict");
                json.put("version", conflict.version());
                json.put("winners", conflict.winners());
                printUnlessJson(false, conflictText(conflict));
                yield ExitCodes.CONFLICT;
            }
            case SettingsResult.Invalid invalid -> {
                json.put("result", "invalid");
                json.put("errors", invalid.errors());
                invalid.errors().stream()
                        .map(SettingsError::message)
                        .forEach(message -> printUnlessJson(false, message));
                yield ExitCodes.REFUSED;
            }
            case SettingsResult.Unavailable unavailable -> {
                json.put("result", "unavailable");
                json.put("message", unavailable.reason());
                printUnlessJson(false, "nothing was changed: " + unavailable.reason());
                yield ExitCodes.STORE_UNAVAILABLE;
            }
            case SettingsResult.Unknown unknown -> {
                json.put("result", "unknown");
                json.put("message", unknown.reason());
                printUnlessJson(false, "the change may or may not take effect: " + unknown.reason());
                printUnlessJson(false, "repeat the command with --change-id " + id + " to find out");
                yield ExitCodes.OUTCOME_UNKNOWN;
            }
        };
        json.put("changeId", id);
        if (code == ExitCodes.SUCCESS || code == ExitCodes.OUTCOME_UNKNOWN) {
            printDetails(json);
        }
        if (isJson()) {
            printJson(json);
        }
        return code;
    }

    private void printUnlessJson(boolean success, String line) {
        if (isJson()) {
            return;
        }
        if (success) {
            print(line);
        } else {
            printError(line);
        }
    }

    private static String conflictText(SettingsResult.Conflict conflict) {
        List<String> lines =
                conflict.winners().stream().map(ChangeFormatter::format).toList();
        return "another change came first, version " + conflict.version() + " stands:\n  " + String.join("\n  ", lines);
    }
}
