package org.jujuberouter.id;

/**
 * Identifier of a failure domain (zone): machines that can fail together and that operators drain together.
 *
 * @param value the string form; not blank
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    /** Throws {@link IllegalArgumentException} if the value is null or blank. */
    public FailureDomain {
        IdValidation.requireNonBlank("FailureDomain", value);
    }

    /** Returns the identifier with the given string form. */
    public static FailureDomain of(String value) {
        return new FailureDomain(value);
    }

    @Override
    public int compareTo(FailureDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
