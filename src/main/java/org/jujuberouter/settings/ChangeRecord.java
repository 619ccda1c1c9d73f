package org.jujuberouter.settings;

import java.util.List;

/**
 * One accepted change in the history of the document.
 *
 * @param changeId the unique id of the change
 * @param version the version that the change made
 * @param author who made it
 * @param timeMs when it was made, in milliseconds since 1970 by the author's clock
 * @param summary what it was for
 * @param paths the paths it changed; {@code *} when there were too many to keep
 */
public record ChangeRecord(
        String changeId, long version, String author, long timeMs, String summary, List<String> paths) {
    /** Paths kept for each change; beyond that the change counts as one of all paths. */
    static final int MAX_PATHS = 32;

    static final String ALL_PATHS = "*";

    static ChangeRecord of(SettingsChange change, long version) {
        List<String> paths = change.edits().keySet().stream().sorted().toList();
        return new ChangeRecord(
                change.changeId(),
                version,
                change.author(),
                change.timeMs(),
                change.summary(),
                paths.size() > MAX_PATHS ? List.of(ALL_PATHS) : paths);
    }

    boolean touches(SettingsChange change) {
        return paths.contains(ALL_PATHS) || paths.stream().anyMatch(change.edits()::containsKey);
    }
}
