package org.jujuberouter.settings;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The value of a setting that is in force at a target.
 *
 * @param value the value
 * @param source the path at which it is set, or {@value #DEFAULT_SOURCE}
 */
public record EffectiveValue(JsonNode value, String source) {
    /** The source of a value that is set nowhere. */
    public static final String DEFAULT_SOURCE = "default";
}
