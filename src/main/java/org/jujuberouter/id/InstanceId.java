package org.jujuberouter.id;

/**
 * Names one process of the system between callers and endpoints, without its incarnation.
 *
 * @param value the text form, never blank
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
    /** Rejects a missing or blank value. */
    public InstanceId {
        IdRules.requireText("InstanceId", value);
    }

    /** Returns the id with the given text form. */
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
