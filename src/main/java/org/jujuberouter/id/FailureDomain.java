package org.jujuberouter.id;

/**
 * Names a set of machines that fail together and that operators take out together.
 *
 * @param value the text form, never blank
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {
    /** Rejects a missing or blank value. */
    public FailureDomain {
        IdRules.requireText("FailureDomain", value);
    }

    /** Returns the id with the given text form. */
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
