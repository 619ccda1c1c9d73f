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

/** Base of the commands that change settings: reads, builds the change, applies it and reports how it ended. */
abstract class ChangeCommand extends StoreCommand {
    @Option(
            names = "--author",
            defaultValue = "${sys:user.name}",
            description = "Name kept in the history (default ${DEFAULT-VALUE}).")
    private String author;

    @Option(names = "--summary", paramLabel = "TEXT", description = "What the change is for; kept in the history.")
    private String summary;

    @Option(
            names = "--if-version",
            paramLabel = "N",
            description = "The version on which the change is based; without it the one in the store now.")
    private Long ifVersion;

    @Option(
            names = "--no-rebase",
            description = "Refuse the change when any other change came first, also one to other paths.")
    private boolean noRebase;

    @Option(
            names = "--change-id",
            paramLabel = "ID",
            description = "Unique id of the change. Give the id of a change whose outcome is unknown to find out.")
    private String changeId;

    /** Adds the edits to the change; an empty result means that nothing needs to be done. */
    abstract Optional<SettingsChange> build(SettingsDocument current, SettingsChange change)
            throws RefusedException, IOException, SettingsException;

    /** Returns what the history says when the operator gave no summary. */
    abstract String defaultSummary();

    /** Prints what only this command knows, once the change is or may be in force. */
    void printDetails(Map<String, Object> json) {}

    @Override
    final int run(SettingsEditor editor)
            throws PlatformException, SettingsException, RefusedException, IOException, InterruptedException {
        SettingsDocument current = editor.read();
        String id = changeId == null ? UUID.randomUUID().toString() : changeId;
        Optional<ChangeRecord> earlier = current.find(id);
        if (earlier.isPresent()) {
            return report(id, new SettingsResult.Accepted(earlier.get(), true));
        }
        long seen = ifVersion == null ? current.version() : ifVersion;
        String what = summary == null ? defaultSummary() : summary;
        SettingsChange blank = SettingsChange.of(id, author, System.currentTimeMillis(), what, seen)
                .withRebase(!noRebase);
        Optional<SettingsChange> change = build(current, blank);
        if (change.isEmpty()) {
            if (isJson()) {
                printJson(Map.of("result", "unchanged", "version", current.version()));
            } else {
                print("nothing to change, version " + current.version());
            }
            return ExitCodes.DONE;
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
                say(
                        true,
                        "done, version " + accepted.record().version()
                                + (accepted.resolved() ? " (found by its change id)" : ""));
                yield ExitCodes.DONE;
            }
            case SettingsResult.Conflict conflict -> {
                json.put("result", "conflict");
                json.put("version", conflict.version());
                json.put("winners", conflict.winners());
                say(false, conflictText(conflict));
                yield ExitCodes.CONFLICT;
            }
            case SettingsResult.Invalid invalid -> {
                json.put("result", "invalid");
                json.put("errors", invalid.errors());
                invalid.errors().stream().map(SettingsError::message).forEach(m -> say(false, m));
                yield ExitCodes.REFUSED;
            }
            case SettingsResult.Unavailable unavailable -> {
                json.put("result", "unavailable");
                json.put("message", unavailable.reason());
                say(false, "nothing was changed: " + unavailable.reason());
                yield ExitCodes.STORE_UNAVAILABLE;
            }
            case SettingsResult.Unknown unknown -> {
                json.put("result", "unknown");
                json.put("message", unknown.reason());
                say(false, "the change may or may not take effect: " + unknown.reason());
                say(false, "repeat the command with --change-id " + id + " to find out");
                yield ExitCodes.OUTCOME_UNKNOWN;
            }
        };
        json.put("changeId", id);
        if (code == ExitCodes.DONE || code == ExitCodes.OUTCOME_UNKNOWN) {
            printDetails(json);
        }
        if (isJson()) {
            printJson(json);
        }
        return code;
    }

    private void say(boolean good, String line) {
        if (isJson()) {
            return;
        }
        if (good) {
            print(line);
        } else {
            printError(line);
        }
    }

    private static String conflictText(SettingsResult.Conflict conflict) {
        List<String> lines = conflict.winners().stream().map(HistoryText::line).toList();
        return "another change came first, version " + conflict.version() + " stands:\n  " + String.join("\n  ", lines);
    }
}
