package org.jujuberouter.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The settings document as stored: the values by path, the version and the most recent changes.
 *
 * @param version the version, which increases with every change; 0 before the first one
 * @param values the values by path
 * @param history the most recent changes, oldest first
 */
public record SettingsDocument(long version, SortedMap<String, JsonNode> values, List<ChangeRecord> history) {
    /** Key of the document in the store. */
    public static final String KEY = "settings";

    /** Maximum number of changes kept in the history. */
    public static final int HISTORY_LENGTH = 256;

    /** Maximum encoded size in bytes; the store rejects larger values. */
    public static final int MAX_BYTES = 1 << 20;

    private static final ObjectMapper JSON =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /** Makes immutable copies of the values and the history; null stands for empty. */
    public SettingsDocument {
        values = Collections.unmodifiableSortedMap(values == null ? new TreeMap<>() : new TreeMap<>(values));
        history = history == null ? List.of() : List.copyOf(history);
    }

    /** Returns the empty document, which precedes the first change. */
    public static SettingsDocument empty() {
        return new SettingsDocument(0, new TreeMap<>(), List.of());
    }

    /** Decodes a document from JSON. */
    public static SettingsDocument decode(byte[] json) throws SettingsException {
        try {
            SettingsDocument document = JSON.readValue(json, SettingsDocument.class);
            if (document == null || document.version() < 0) {
                throw SettingsException.unreadable("it has no version", null);
            }
            return document;
        } catch (IOException e) {
            throw SettingsException.unreadable(e.getMessage(), e);
        }
    }

    /** Encodes the document as JSON. */
    public byte[] encode() {
        try {
            return JSON.writeValueAsBytes(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode the settings document as JSON", e);
        }
    }

    /** Returns the history entry of a change; empty if the history does not contain it. */
    public Optional<ChangeRecord> find(String changeId) {
        return history.stream().filter(c -> c.changeId().equals(changeId)).findFirst();
    }

    /** Returns the history entry of the last change. */
    public Optional<ChangeRecord> last() {
        return history.isEmpty() ? Optional.empty() : Optional.of(history.getLast());
    }

    /** Returns whether the history reaches back to the change that created the given version. */
    boolean historyCovers(long pastVersion) {
        return history.size() < HISTORY_LENGTH || history.getFirst().version() <= pastVersion;
    }

    List<ChangeRecord> changesAfter(long afterVersion) {
        return history.stream().filter(c -> c.version() > afterVersion).toList();
    }

    SettingsDocument withChange(SettingsChange change) {
        TreeMap<String, JsonNode> next = new TreeMap<>(values);
        for (Map.Entry<String, JsonNode> edit : change.edits().entrySet()) {
            if (edit.getValue().isNull()) {
                next.remove(edit.getKey());
            } else {
                next.put(edit.getKey(), edit.getValue());
            }
        }
        long nextVersion = Math.max(version, change.aboveVersion()) + 1;
        List<ChangeRecord> records = new ArrayList<>(history);
        records.add(ChangeRecord.of(change, nextVersion));
        int from = Math.max(0, records.size() - HISTORY_LENGTH);
        return new SettingsDocument(nextVersion, next, records.subList(from, records.size()));
    }
}
