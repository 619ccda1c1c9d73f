package org.jujuberouter.id;

/**
 * Identifier of a customer (tenant), whose requests share limits and settings.
 *
 * @param value the string form; not blank
 */
public record CustomerId(String value) implements Comparable<CustomerId> {
    /** Throws {@link IllegalArgumentException} if the value is null or blank. */
    public CustomerId {
        IdValidation.requireNonBlank("CustomerId", value);
    }

    /** Returns the identifier with the given string form. */
    public static CustomerId of(String value) {
        return new CustomerId(value);
    }

    @Override
    public int compareTo(CustomerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
