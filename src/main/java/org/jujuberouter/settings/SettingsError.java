package org.jujuberouter.settings;

/**
 * A reason why a change of the settings is rejected.
 *
 * @param path the path of the rejected value
 * @param value the rejected value as JSON; empty if the error is not about a value
 * @param allowed description of the allowed values, or of the error if {@code value} is empty
 */
public record SettingsError(String path, String value, String allowed) {
    /** Returns the error message for operators. */
    public String message() {
        return value.isEmpty() ? path + ": " + allowed : path + ": " + value + " is not allowed; allowed: " + allowed;
    }
}
