package org.jujuberouter.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import org.jujuberouter.settings.SettingsSchema;

/** Parses setting values given on the command line. */
final class SettingValueParser {
    private SettingValueParser() {}

    /** Parses the text as the type that the schema defines for the path, or as plain text if the path is unknown. */
    static JsonNode parse(String path, String text) {
        return SettingsSchema.standard()
                .at(path)
                .map(s -> s.type().parse(text))
                .orElseGet(() -> TextNode.valueOf(text));
    }
}
