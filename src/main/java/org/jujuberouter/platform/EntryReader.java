package org.jujuberouter.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.jujuberouter.configcheck.ConfigurationField;
import org.jujuberouter.configcheck.Finding;
import org.jujuberouter.configcheck.Location;

/**
 * Reads the fields of one object of the configuration.
 *
 * <p>A value of the wrong type or out of range is read leniently, as {@link JsonNode} converts it, and reported. Without
 * a required value the entry is unreadable, which is reported and thrown.
 */
final class EntryReader implements Location {
    /** Receiver of findings for instances, which log only the entries that they cannot read. */
    static final Consumer<Finding> DISCARD = _ -> {};

    /** Longest time that is read, about 24 days: sums and multiples of times must not overflow in nanoseconds. */
    static final long MAX_MILLIS = Integer.MAX_VALUE;

    private final JsonNode entry;
    private final String path;
    private final Consumer<Finding> findings;

    private EntryReader(JsonNode entry, String path, Consumer<Finding> findings) {
        this.entry = entry;
        this.path = path;
        this.findings = findings;
    }

    /** Returns a reader of an entry that may have the given fields; others are reported. */
    static EntryReader of(JsonNode entry, String path, Set<String> fields, Consumer<Finding> findings) {
        EntryReader reader = new EntryReader(entry, path, findings);
        if (findings != DISCARD) {
            reader.reportUnknownFields(fields);
        }
        return reader;
    }

    private void reportUnknownFields(Set<String> fields) {
        if (!entry.isObject()) {
            if (!entry.isMissingNode() && !entry.isNull()) {
                findings.accept(Finding.error(path, typeOf(entry), "an object", "wrong type"));
            }
            return;
        }
        for (String name : (Iterable<String>) entry::fieldNames) {
            if (fields.contains(name)) {
                continue;
            }
            String intended = new TreeSet<>(fields)
                    .stream()
                            .filter(f -> !entry.has(f) && Misspelling.isLikely(name, f))
                            .findFirst()
                            .orElse("");
            if (intended.isEmpty()) {
                findings.accept(Finding.note(path(name), name, "unknown field; instances do not read it"));
            } else {
                findings.accept(Finding.error(path(name), name, intended, "unknown field, probably misspelled"));
            }
        }
    }

    @Override
    public String path() {
        return path;
    }

    /** Returns the path of a field of this entry. */
    String path(String field) {
        return path + "/" + field.replace("~", "~0").replace("/", "~1");
    }

    @Override
    public String path(ConfigurationField field) {
        return path(
                switch (field) {
                    case VERSION -> "Version";
                    case CUSTOMERS -> "Tenants";
                    case NAME -> "Name";
                    case HOST -> "Host";
                    case PREFIX -> "Prefix";
                    case TIMEOUT -> "TimeoutMs";
                    case OBJECTIVE -> "TargetLatencyMs";
                    case GAP_OBJECTIVE -> "TargetGapMs";
                    case TARGETS -> entry.has("Service") ? "Service" : "Backends";
                    case COLD_RATE -> "ColdPerS";
                    case API_KEYS -> "ApiKeys";
                    case MAX_BODY -> "MaxBodyBytes";
                });
    }

    @Override
    public String path(ConfigurationField list, int index) {
        String field = path(list);
        if (list != ConfigurationField.TARGETS) {
            return field + "/" + index;
        }
        return entry.has("Service") ? field : field + "/" + index + "/Service";
    }

    /** Returns the field, which is missing if it is absent. */
    JsonNode field(String name) {
        return entry.path(name);
    }

    boolean has(String name) {
        return entry.has(name);
    }

    /** Returns the items of a list; other values than a list are reported. */
    JsonNode list(String name) {
        JsonNode value = entry.path(name);
        if (!value.isArray() && isPresent(value)) {
            // The value may be an API key.
            findings.accept(Finding.error(path(name), typeOf(value), "a list", "wrong type"));
        }
        return value;
    }

    /** Returns a required text. */
    String text(String name) {
        JsonNode value = entry.path(name);
        if (!value.isTextual() || value.asText().isBlank()) {
            throw invalid(name, "a text that is not blank", name + " is missing, blank or not a string");
        }
        return value.asText();
    }

    /** Reports a value that is not a text, without which the entry is still read. */
    void expectText(String name) {
        JsonNode value = entry.path(name);
        if (!value.isTextual() && isPresent(value)) {
            wrongType(path(name), value, "a text");
        }
    }

    /** Reports a value of null where instances do not take it for an absent one. */
    void expectNotNull(String name, String bound) {
        if (entry.path(name).isNull()) {
            wrongType(path(name), entry.path(name), bound);
        }
    }

    boolean flag(String name) {
        JsonNode value = entry.path(name);
        if (!value.isBoolean() && isPresent(value)) {
            wrongType(path(name), value, "true or false");
        }
        return value.asBoolean();
    }

    int integer(String name, int ifAbsent, int min, int max) {
        checkWhole(name, min, max);
        return entry.path(name).asInt(ifAbsent);
    }

    long longInteger(String name, long ifAbsent, long min) {
        checkWhole(name, min, Long.MAX_VALUE);
        return entry.path(name).asLong(ifAbsent);
    }

    /** Returns a time in milliseconds; a longer one than can be counted with is read as the longest. */
    long millis(String name, long ifAbsent, long min) {
        checkWhole(name, min, MAX_MILLIS);
        return Math.min(entry.path(name).asLong(ifAbsent), MAX_MILLIS);
    }

    private void checkWhole(String name, long min, long max) {
        JsonNode value = entry.path(name);
        if (findings == DISCARD || !isPresent(value)) {
            return;
        }
        String bound = "a whole number from " + min + (max == Long.MAX_VALUE ? "" : " to " + max);
        if (!value.isNumber()) {
            wrongType(path(name), value, bound);
        } else if (!value.canConvertToExactIntegral()
                || !value.canConvertToLong()
                || value.asLong() < min
                || value.asLong() > max) {
            findings.accept(Finding.error(path(name), shown(value), bound, "out of range"));
        }
    }

    double number(String name, double ifAbsent, long min) {
        JsonNode value = entry.path(name);
        if (findings != DISCARD && isPresent(value)) {
            String bound = "a number from " + min;
            if (!value.isNumber()) {
                wrongType(path(name), value, bound);
            } else if (!(value.asDouble() >= min) || Double.isInfinite(value.asDouble())) {
                findings.accept(Finding.error(path(name), shown(value), bound, "out of range"));
            }
        }
        return value.asDouble(ifAbsent);
    }

    /** Reports that the entry is unreadable because of a field, and returns the exception to throw. */
    InvalidEntryException invalid(String name, String bound, String message) {
        JsonNode value = entry.path(name);
        boolean missing = value.isMissingNode();
        if (entry.isObject()) {
            findings.accept(
                    Finding.error(path(name), missing ? "" : shown(value), bound, missing ? "missing" : message));
        } else if (entry.isNull()) {
            findings.accept(Finding.error(path, "", "an object", "missing"));
        }
        return new InvalidEntryException(message);
    }

    /** Reports the entry as a whole. */
    void error(String value, String bound, String text) {
        findings.accept(Finding.error(path, value, bound, text));
    }

    /** Reports that a required field of a document that is otherwise readable is absent. */
    void require(String name, String bound) {
        if (!isPresent(entry.path(name))) {
            findings.accept(Finding.error(path(name), "", bound, "missing"));
        }
    }

    private void wrongType(String at, JsonNode value, String bound) {
        findings.accept(Finding.error(at, shown(value), bound, "wrong type"));
    }

    private static String typeOf(JsonNode value) {
        return "a value of type " + value.getNodeType().name().toLowerCase(Locale.ROOT);
    }

    private static boolean isPresent(JsonNode value) {
        return !value.isMissingNode() && !value.isNull();
    }

    /** Returns a value for output; the content of objects and lists is left out, which may be large or hold keys. */
    private static String shown(JsonNode value) {
        return value.isContainerNode() ? typeOf(value) : value.asText();
    }

    /** Thrown for an entry that cannot be read, after the reason has been reported. */
    static final class InvalidEntryException extends IllegalArgumentException {
        private static final long serialVersionUID = 1;

        private InvalidEntryException(String message) {
            super(message);
        }
    }
}
