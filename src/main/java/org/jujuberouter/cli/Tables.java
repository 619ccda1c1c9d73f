package org.jujuberouter.cli;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jujuberouter.settings.SettingsChange;
import org.jujuberouter.settings.SettingsDocument;

/** What the commands for services, customers, domains and endpoints share. */
final class Tables {
    private Tables() {}

    /** Prints one line for each row, or all rows as JSON under the title. */
    static void print(StoreCommand command, String title, List<Map<String, Object>> rows) {
        if (command.isJson()) {
            command.printJson(Map.of(title, rows));
            return;
        }
        for (Map<String, Object> row : rows) {
            command.print(row.entrySet().stream()
                    .map(e -> e.getKey() + "=" + e.getValue())
                    .collect(Collectors.joining("  ")));
        }
    }

    /** Unsets all paths that match; refused when there are none. */
    static SettingsChange unsetAll(
            SettingsDocument current, SettingsChange change, String what, Predicate<String> matches)
            throws RefusedException {
        SettingsChange all = change;
        for (String path : current.values().keySet()) {
            all = matches.test(path) ? all.unset(path) : all;
        }
        if (all.edits().isEmpty()) {
            throw RefusedException.of(what + " does not exist");
        }
        return all;
    }
}
