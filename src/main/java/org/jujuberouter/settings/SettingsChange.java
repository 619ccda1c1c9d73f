package org.jujuberouter.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.util.Map;
import java.util.TreeMap;

/**
 * A change of the settings requested by an operator.
 *
 * @param changeId a unique identifier, used to find the change in the history if the reply to its write was lost
 * @param author the author of the change
 * @param timeMs the time of the change in milliseconds since the Unix epoch
 * @param summary the author's description of the change
 * @param baseVersion the document version that the change is based on
 * @param rebase whether the change may be applied on top of later changes of other paths
 * @param aboveVersion lower bound, exclusive, of the new version, even if the version in the store is lower; usually 0
 * @param edits the new value of each path; {@link NullNode} unsets the value
 */
public record SettingsChange(
        String changeId,
        String author,
        long timeMs,
        String summary,
        long baseVersion,
        boolean rebase,
        long aboveVersion,
        Map<String, JsonNode> edits) {
    private static final int MAX_TEXT_LENGTH = 200;

    /** Copies the edits and truncates the author and summary, which are kept in the history. */
    public SettingsChange {
        author = truncate(author);
        summary = truncate(summary);
        edits = Map.copyOf(edits);
    }

    /** Returns a change without edits that may be rebased. */
    public static SettingsChange of(String changeId, String author, long timeMs, String summary, long baseVersion) {
        return new SettingsChange(changeId, author, timeMs, summary, baseVersion, true, 0, Map.of());
    }

    /** Returns a copy that also sets the given path. */
    public SettingsChange set(String path, JsonNode value) {
        Map<String, JsonNode> more = new TreeMap<>(edits);
        more.put(path, value);
        return new SettingsChange(changeId, author, timeMs, summary, baseVersion, rebase, aboveVersion, more);
    }

    /** Returns a copy that also unsets the given path. */
    public SettingsChange unset(String path) {
        return set(path, NullNode.getInstance());
    }

    /** Returns a copy that allows or forbids a rebase on top of later changes of other paths. */
    public SettingsChange withRebase(boolean allowed) {
        return new SettingsChange(changeId, author, timeMs, summary, baseVersion, allowed, aboveVersion, edits);
    }

    /** Returns a copy whose new version is higher than the given one. */
    public SettingsChange withVersionAbove(long version) {
        return new SettingsChange(changeId, author, timeMs, summary, baseVersion, rebase, version, edits);
    }

    private static String truncate(String text) {
        return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
    }
}
