package org.jujuberouter.settings;

import java.util.List;

/**
 * An accepted change in the history of the settings document.
 *
 * @param changeId the unique identifier of the change
 * @param version the document version that the change created
 * @param author the author of the change
 * @param timeMs the time of the change by the author's clock, in milliseconds since the Unix epoch
 * @param summary the author's description of the change
 * @param paths the changed paths, or only {@value #ALL_PATHS} if there were more than {@value #MAX_PATHS}
 */
public record ChangeRecord(
        String changeId, long version, String author, long timeMs, String summary, List<String> paths) {
    /** Maximum number of paths kept for a change; a larger change is treated as a change of all paths. */
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

    boolean overlaps(SettingsChange change) {
        return paths.contains(ALL_PATHS) || paths.stream().anyMatch(change.edits()::containsKey);
    }
}
