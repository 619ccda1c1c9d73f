package org.jujuberouter.id;

/**
 * Names one request of a caller; unique over all instances and their incarnations.
 *
 * @param value the text form, never blank
 */
public record RequestId(String value) implements Comparable<RequestId> {
    /** Rejects a missing or blank value. */
    public RequestId {
        IdRules.requireText("RequestId", value);
    }

    /** Returns the id with the given text form. */
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
