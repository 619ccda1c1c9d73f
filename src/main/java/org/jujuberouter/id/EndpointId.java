package org.jujuberouter.id;

/**
 * Identifier of an endpoint (back end): a model engine or a plain service process.
 *
 * @param value the string form; not blank
 */
public record EndpointId(String value) implements Comparable<EndpointId> {
    /** Throws {@link IllegalArgumentException} if the value is null or blank. */
    public EndpointId {
        IdValidation.requireNonBlank("EndpointId", value);
    }

    /** Returns the identifier with the given string form. */
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
