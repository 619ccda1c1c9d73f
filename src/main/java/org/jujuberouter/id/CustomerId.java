package org.jujuberouter.id;

/**
 * Names a tenant whose requests share limits and settings.
 *
 * @param value the text form, never blank
 */
public record CustomerId(String value) implements Comparable<CustomerId> {
    /** Rejects a missing or blank value. */
    public CustomerId {
        IdRules.requireText("CustomerId", value);
    }

    /** Returns the id with the given text form. */
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
