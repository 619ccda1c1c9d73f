package org.jujuberouter.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * The schema of one setting.
 *
 * @param name the last part of its paths
 * @param patterns the patterns of the targets at which it may be set
 * @param type the type of the value
 * @param unit the unit; empty when there is none
 * @param min the smallest allowed number, or null
 * @param max the largest allowed number, or null
 * @param form the form of a text or of each text of a list, or null
 * @param allowed the allowed values in words
 * @param defaultValue the value when it is set nowhere, or null when there is none
 * @param doc what it does
 */
public record Setting(
        String name,
        List<String> patterns,
        ValueType type,
        String unit,
        Double min,
        Double max,
        Pattern form,
        String allowed,
        JsonNode defaultValue,
        String doc) {
    static Setting of(String name, ValueType type, String unit, String doc, String... patterns) {
        return new Setting(name, List.of(patterns), type, unit, null, null, null, type.displayName(), null, doc);
    }

    Setting range(double newMin, double newMax) {
        String words = type.displayName() + " from " + plain(newMin) + " to " + plain(newMax);
        return new Setting(name, patterns, type, unit, newMin, newMax, form, words, defaultValue, doc);
    }

    Setting matching(String regex, String words) {
        return new Setting(name, patterns, type, unit, min, max, Pattern.compile(regex), words, defaultValue, doc);
    }

    Setting defaultsTo(String text) {
        return new Setting(name, patterns, type, unit, min, max, form, allowed, type.parse(text), doc);
    }

    /** Tells whether the value is of the type, in the range and of the form. */
    public boolean allows(JsonNode value) {
        if (!type.fits(value)) {
            return false;
        }
        if (min != null && (value.doubleValue() < min || value.doubleValue() > max)) {
            return false;
        }
        if (form == null) {
            return true;
        }
        List<String> texts = new ArrayList<>();
        if (value.isArray()) {
            value.forEach(v -> texts.add(v.textValue()));
        } else {
            texts.add(value.asText());
        }
        return texts.stream().allMatch(t -> form.matcher(t).matches());
    }

    private static String plain(double number) {
        return number == Math.rint(number) ? String.format("%,d", (long) number).replace(',', ' ') : "" + number;
    }
}
