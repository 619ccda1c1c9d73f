package org.jujuberouter.id;

/**
 * Identifier of a router instance, which stays the same across restarts; see {@link Incarnation}.
 *
 * @param value the string form; not blank
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /** Throws {@link IllegalArgumentException} if the value is null or blank. */
    public InstanceId {
        IdValidation.requireNonBlank("InstanceId", value);
    }

    /** Returns the identifier with the given string form. */
    public static InstanceId of(String value) {
        return new InstanceId(value);
    }

    @Override
    public int compareTo(InstanceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
