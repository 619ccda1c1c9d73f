package org.jujuberouter.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Schema of a setting.
 *
 * @param name the last segment of the setting's paths
 * @param patterns the path patterns of the targets for which it can be set
 * @param type the value type
 * @param unit the unit; empty if there is none
 * @param min the minimum of a numeric value, or null
 * @param max the maximum of a numeric value, or null
 * @param valuePattern the regular expression for a text or for each element of a list, or null
 * @param allowed description of the allowed values
 * @param defaultValue the value if it is not set, or null
 * @param doc description of the setting
 */
public record Setting(
        String name,
        List<String> patterns,
        ValueType type,
        String unit,
        Double min,
        Double max,
        Pattern valuePattern,
        String allowed,
        JsonNode defaultValue,
        String doc) {
    static Setting of(String name, ValueType type, String unit, String doc, String... patterns) {
        return new Setting(name, List.of(patterns), type, unit, null, null, null, type.displayName(), null, doc);
    }

    Setting range(double newMin, double newMax) {
        String description = type.displayName() + " from " + formatNumber(newMin) + " to " + formatNumber(newMax);
        return new Setting(name, patterns, type, unit, newMin, newMax, valuePattern, description, defaultValue, doc);
    }

    Setting matching(String regex, String description) {
        return new Setting(
                name, patterns, type, unit, min, max, Pattern.compile(regex), description, defaultValue, doc);
    }

    Setting defaultsTo(String text) {
        return new Setting(name, patterns, type, unit, min, max, valuePattern, allowed, type.parse(text), doc);
    }

    /** Returns whether a value has the setting's type, is in its range and matches its pattern. */
    public boolean allows(JsonNode value) {
        if (!type.accepts(value)) {
            return false;
        }
        if (min != null && (value.doubleValue() < min || value.doubleValue() > max)) {
            return false;
        }
        if (valuePattern == null) {
            return true;
        }
        List<String> texts = new ArrayList<>();
        if (value.isArray()) {
            value.forEach(v -> texts.add(v.textValue()));
        } else {
            texts.add(value.asText());
        }
        return texts.stream().allMatch(t -> valuePattern.matcher(t).matches());
    }

    private static String formatNumber(double number) {
        return number == Math.rint(number) ? String.format("%,d", (long) number).replace(',', ' ') : "" + number;
    }
}
