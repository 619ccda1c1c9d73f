package org.jujuberouter.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import java.util.Map;
import java.util.TreeMap;

/**
 * A change of the settings as an operator asks for it.
 *
 * @param changeId a unique id, by which a change whose reply was lost is recognised
 * @param author who makes it
 * @param timeMs the time in milliseconds since 1970
 * @param summary what it is for
 * @param seenVersion the version on which the operator based it
 * @param rebase whether it may go on top of later changes to other paths
 * @param aboveVersion the new version is higher than this, also when the store's is lower; usually 0
 * @param edits the new value of each path; {@link NullNode} to unset it
 */
public record SettingsChange(
        String changeId,
        String author,
        long timeMs,
        String summary,
        long seenVersion,
        boolean rebase,
        long aboveVersion,
        Map<String, JsonNode> edits) {
    private static final int MAX_TEXT = 200;

    /** Copies the edits and shortens the texts, which are kept in the history. */
    public SettingsChange {
        author = shorten(author);
        summary = shorten(summary);
        edits = Map.copyOf(edits);
    }

    /** Returns a change without edits that rebases. */
    public static SettingsChange of(String changeId, String author, long timeMs, String summary, long seenVersion) {
        return new SettingsChange(changeId, author, timeMs, summary, seenVersion, true, 0, Map.of());
    }

    /** Returns the change with one more value set. */
    public SettingsChange set(String path, JsonNode value) {
        Map<String, JsonNode> more = new TreeMap<>(edits);
        more.put(path, value);
        return new SettingsChange(changeId, author, timeMs, summary, seenVersion, rebase, aboveVersion, more);
    }

    /** Returns the change with one more path unset. */
    public SettingsChange unset(String path) {
        return set(path, NullNode.getInstance());
    }

    /** Returns the change with the given choice whether it may go on top of later changes to other paths. */
    public SettingsChange withRebase(boolean allowed) {
        return new SettingsChange(changeId, author, timeMs, summary, seenVersion, allowed, aboveVersion, edits);
    }

    /** Returns the change with a lower bound of the new version. */
    public SettingsChange withVersionAbove(long version) {
        return new SettingsChange(changeId, author, timeMs, summary, seenVersion, rebase, version, edits);
    }

    private static String shorten(String text) {
        return text.length() <= MAX_TEXT ? text : text.substring(0, MAX_TEXT);
    }
}
