package org.jujuberouter.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.TextNode;

/** The types that the value of a setting can have. */
public enum ValueType {
    TEXT("text"),
    INTEGER("whole number"),
    NUMBER("number"),
    BOOLEAN("true or false"),
    TEXT_LIST("list of texts");

    private final String displayName;

    ValueType(String displayName) {
        this.displayName = displayName;
    }

    /** Returns the name that operators read. */
    public String displayName() {
        return displayName;
    }

    /** Reads a value as typed on the command line; a list is separated by commas. Text that does not fit stays text. */
    public JsonNode parse(String text) {
        try {
            return switch (this) {
                case TEXT -> TextNode.valueOf(text);
                case INTEGER -> LongNode.valueOf(Long.parseLong(text.replace("_", "")));
                case NUMBER -> DoubleNode.valueOf(Double.parseDouble(text));
                case BOOLEAN ->
                    text.equals("true") || text.equals("false")
                            ? BooleanNode.valueOf(text.equals("true"))
                            : TextNode.valueOf(text);
                case TEXT_LIST -> {
                    ArrayNode list = JsonNodeFactory.instance.arrayNode();
                    for (String part : text.split(",")) {
                        if (!part.isBlank()) {
                            list.add(part.strip());
                        }
                    }
                    yield list;
                }
            };
        } catch (NumberFormatException e) {
            return TextNode.valueOf(text);
        }
    }

    /** Tells whether a JSON value is of this type. */
    public boolean fits(JsonNode value) {
        return switch (this) {
            case TEXT -> value.isTextual();
            case INTEGER -> value.canConvertToLong() && value.isIntegralNumber();
            case NUMBER -> value.isNumber() && Double.isFinite(value.doubleValue());
            case BOOLEAN -> value.isBoolean();
            case TEXT_LIST -> value.isArray() && value.valueStream().allMatch(JsonNode::isTextual);
        };
    }
}
