package org.jujuberouter.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujuberouter.settings.Setting;
import org.jujuberouter.settings.SettingsSchema;

/** Formats the settings schema for display. */
final class SchemaFormatter {
    private static final String MARKDOWN_HEADER = """
            | setting | may be set at | type | unit | allowed | default | meaning |
            | --- | --- | --- | --- | --- | --- | --- |
            """;

    private SchemaFormatter() {}

    /** Returns the schema in the format text, json or markdown; empty for any other format. */
    static Optional<String> format(String outputFormat) throws JsonProcessingException {
        List<Setting> settings = SettingsSchema.standard().settings();
        return switch (outputFormat) {
            case "text" ->
                Optional.of(String.join(
                        "",
                        settings.stream().map(SchemaFormatter::textParagraph).toList()));
            case "markdown" ->
                Optional.of(MARKDOWN_HEADER
                        + String.join(
                                "",
                                settings.stream()
                                        .map(SchemaFormatter::markdownRow)
                                        .toList()));
            case "json" -> {
                List<Map<String, Object>> rows = new ArrayList<>();
                settings.forEach(setting -> rows.add(jsonObject(setting)));
                yield Optional.of(StoreCommand.JSON.writeValueAsString(Map.of("settings", rows)) + "\n");
            }
            default -> Optional.empty();
        };
    }

    private static String textParagraph(Setting setting) {
        return setting.name() + "\n  " + setting.doc() + "\n  at: " + String.join(", ", setting.patterns())
                + "\n  allowed: " + setting.allowed() + (setting.unit().isEmpty() ? "" : ", in " + setting.unit())
                + "\n  default: " + defaultText(setting) + "\n";
    }

    private static String markdownRow(Setting setting) {
        return "| `" + setting.name() + "` | "
                + String.join(
                        "<br>",
                        setting.patterns().stream()
                                .map(pattern -> "`" + pattern + "`")
                                .toList())
                + " | " + setting.type().displayName() + " | " + setting.unit() + " | "
                + setting.allowed().replace("|", "\\|") + " | "
                + defaultText(setting) + " | " + setting.doc() + " |\n";
    }

    private static Map<String, Object> jsonObject(Setting setting) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("name", setting.name());
        row.put("patterns", setting.patterns());
        row.put("type", setting.type().displayName());
        row.put("unit", setting.unit());
        row.put("allowed", setting.allowed());
        row.put("default", setting.defaultValue());
        row.put("doc", setting.doc());
        return row;
    }

    private static String defaultText(Setting setting) {
        return setting.defaultValue() == null ? "none" : setting.defaultValue().toString();
    }
}
