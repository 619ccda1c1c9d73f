package org.jujuberouter.id;

/**
 * Key chosen by the caller that identifies resends of the same non-idempotent call.
 *
 * @param value the string form; not blank
 */
public record IdempotencyKey(String value) implements Comparable<IdempotencyKey> {
    /** Throws {@link IllegalArgumentException} if the value is null or blank. */
    public IdempotencyKey {
        IdValidation.requireNonBlank("IdempotencyKey", value);
    }

    /** Returns the key with the given string form. */
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
