package org.jujuberouter.id;

/**
 * Fingerprint of a request's model and body, used to recognise resends of the same request.
 *
 * @param value the string form; not blank
 */
public record Fingerprint(String value) implements Comparable<Fingerprint> {
    /** Throws {@link IllegalArgumentException} if the value is null or blank. */
    public Fingerprint {
        IdValidation.requireNonBlank("Fingerprint", value);
    }

    /** Returns the fingerprint with the given string form. */
    public static Fingerprint of(String value) {
        return new Fingerprint(value);
    }

    @Override
    public int compareTo(Fingerprint other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
