package org.jujuberouter.settings;

/**
 * One reason why a change is refused.
 *
 * @param path the path at fault
 * @param value the value at fault as JSON text; empty when there is none
 * @param allowed what is allowed there
 */
public record SettingsError(String path, String value, String allowed) {
    /** Returns one sentence for operators. */
    public String message() {
        return value.isEmpty() ? path + ": " + allowed : path + ": " + value + " is not allowed; allowed: " + allowed;
    }
}
