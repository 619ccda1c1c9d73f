package org.jujuberouter.id;

/** Validation shared by the identifier types. */
final class IdValidation {
    private IdValidation() {}

    static void requireNonBlank(String type, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(type + " must not be blank");
        }
    }
}
