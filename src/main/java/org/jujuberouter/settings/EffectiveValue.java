package org.jujuberouter.settings;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The effective value of a setting for a target.
 *
 * @param value the value
 * @param source the path where the value is set, or {@value #DEFAULT_SOURCE}
 */
public record EffectiveValue(JsonNode value, String source) {
    /** Source of a value that is the schema's default. */
    public static final String DEFAULT_SOURCE = "default";
}
