package org.jujuberouter.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.TextNode;
import org.jujuberouter.settings.SettingsSchema;

/** Reads values as operators type them. */
final class Values {
    private Values() {}

    /** Returns the value by the type that the schema gives the path; text when there is no such path. */
    static JsonNode parse(String path, String text) {
        return SettingsSchema.standard()
                .at(path)
                .map(s -> s.type().parse(text))
                .orElseGet(() -> TextNode.valueOf(text));
    }
}
