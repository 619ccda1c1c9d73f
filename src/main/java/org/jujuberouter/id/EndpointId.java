package org.jujuberouter.id;

/**
 * Names one back end: a model engine or a plain service process.
 *
 * @param value the text form, never blank
 */
public record EndpointId(String value) implements Comparable<EndpointId> {
    /** Rejects a missing or blank value. */
    public EndpointId {
        IdRules.requireText("EndpointId", value);
    }

    /** Returns the id with the given text form. */
    public static EndpointId of(String value) {
        return new EndpointId(value);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
