package org.jujuberouter.id;

/**
 * Carries the caller's key that makes resends of one non-idempotent call recognisable.
 *
 * @param value the text form, never blank
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    /** Rejects a missing or blank value. */
    public IdempotencyKey {
        IdRules.requireText("IdempotencyKey", value);
    }

    /** Returns the id with the given text form. */
    public static IdempotencyKey of(String value) {
        return new IdempotencyKey(value);
    }

    @Override
    public int compareTo(IdempotencyKey other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
