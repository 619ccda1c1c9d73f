package org.jujuberouter.id;

/**
 * Identifies requests with the same model and body, so that a resend is recognised.
 *
 * @param value the text form, never blank
 */
public record Fingerprint(String value) implements Comparable<Fingerprint> {
    /** Rejects a missing or blank value. */
    public Fingerprint {
        IdRules.requireText("Fingerprint", value);
    }

    /** Returns the id with the given text form. */
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
