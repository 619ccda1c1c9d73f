package org.jujuberouter.id;

/**
 * Identifier of a request, unique across all instances and their incarnations.
 *
 * @param value the string form; not blank
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /** Throws {@link IllegalArgumentException} if the value is null or blank. */
    public RequestId {
        IdValidation.requireNonBlank("RequestId", value);
    }

    /** Returns the identifier with the given string form. */
    public static RequestId of(String value) {
        return new RequestId(value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
