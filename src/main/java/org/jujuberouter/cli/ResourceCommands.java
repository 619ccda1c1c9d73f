package org.jujuberouter.cli;

import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jujuberouter.settings.SettingsChange;
import org.jujuberouter.settings.SettingsDocument;

/** Helpers of the commands for services, customers, domains and endpoints. */
final class ResourceCommands {
    private ResourceCommands() {}

    /** Prints one line per row, or all rows as JSON under the given key. */
    static void printRows(StoreCommand command, String jsonKey, List<Map<String, Object>> rows) {
        if (command.isJson()) {
            command.printJson(Map.of(jsonKey, rows));
            return;
        }
        for (Map<String, Object> row : rows) {
            command.print(row.entrySet().stream()
                    .map(column -> column.getKey() + "=" + column.getValue())
                    .collect(Collectors.joining("  ")));
        }
    }

    /** Unsets all paths that the filter accepts; refuses the command if there are none. */
    static SettingsChange unsetMatching(
            SettingsDocument current, SettingsChange change, String resource, Predicate<String> pathFilter)
            throws RefusedException {
        SettingsChange edited = change;
        for (String path : current.values().keySet()) {
            edited = pathFilter.test(path) ? edited.unset(path) : edited;
        }
        if (edited.edits().isEmpty()) {
            throw RefusedException.of(resource + " does not exist");
        }
        return edited;
    }
}
