package org.jujuberouter.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BooleanNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.LongNode;
import com.fasterxml.jackson.databind.node.TextNode;

/** Types of setting values. */
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

    /** Returns the name shown to operators. */
    public String displayName() {
        return displayName;
    }

    /**
     * Parses a value given on the command line; elements of a list are separated by commas. Input that is not valid for
     * the type is returned as text, so that validation can report it.
     */
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

    /** Returns whether a JSON value has this type. */
    public boolean accepts(JsonNode value) {
        return switch (this) {
            case TEXT -> value.isTextual();
            case INTEGER -> value.canConvertToLong() && value.isIntegralNumber();
            case NUMBER -> value.isNumber() && Double.isFinite(value.doubleValue());
            case BOOLEAN -> value.isBoolean();
            case TEXT_LIST -> value.isArray() && value.valueStream().allMatch(JsonNode::isTextual);
        };
    }
}
