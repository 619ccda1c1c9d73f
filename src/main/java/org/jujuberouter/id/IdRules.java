package org.jujuberouter.id;

/** Checks shared by all id types. */
final class IdRules {
    private IdRules() {}

    static void requireText(String type, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(type + " must not be blank");
        }
    }
}
