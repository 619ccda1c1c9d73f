package org.jujuberouter.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jujuberouter.settings.Setting;
import org.jujuberouter.settings.SettingsSchema;

/** Formats the schema of the settings. */
final class SchemaText {
    private static final String HEAD = """
            | setting | may be set at | type | unit | allowed | default | meaning |
            | --- | --- | --- | --- | --- | --- | --- |
            """;

    private SchemaText() {}

    /** Returns the schema as text, json or markdown; empty for another form. */
    static Optional<String> of(String form) throws JsonProcessingException {
        List<Setting> all = SettingsSchema.standard().settings();
        return switch (form) {
            case "text" ->
                Optional.of(
                        String.join("", all.stream().map(SchemaText::paragraph).toList()));
            case "markdown" ->
                Optional.of(
                        HEAD + String.join("", all.stream().map(SchemaText::row).toList()));
            case "json" -> {
                List<Map<String, Object>> rows = new ArrayList<>();
                all.forEach(s -> rows.add(object(s)));
                yield Optional.of(StoreCommand.JSON.writeValueAsString(Map.of("settings", rows)) + "\n");
            }
            default -> Optional.empty();
        };
    }

    private static String paragraph(Setting s) {
        return s.name() + "\n  " + s.doc() + "\n  at: " + String.join(", ", s.patterns()) + "\n  allowed: "
                + s.allowed() + (s.unit().isEmpty() ? "" : ", in " + s.unit()) + "\n  default: " + fallback(s) + "\n";
    }

    private static String row(Setting s) {
        return "| `" + s.name() + "` | "
                + String.join(
                        "<br>", s.patterns().stream().map(p -> "`" + p + "`").toList())
                + " | " + s.type().displayName() + " | " + s.unit() + " | "
                + s.allowed().replace("|", "\\|") + " | "
                + fallback(s) + " | " + s.doc() + " |\n";
    }

    private static Map<String, Object> object(Setting s) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("name", s.name());
        row.put("patterns", s.patterns());
        row.put("type", s.type().displayName());
        row.put("unit", s.unit());
        row.put("allowed", s.allowed());
        row.put("default", s.defaultValue());
        row.put("doc", s.doc());
        return row;
    }

    private static String fallback(Setting s) {
        return s.defaultValue() == null ? "none" : s.defaultValue().toString();
    }
}
