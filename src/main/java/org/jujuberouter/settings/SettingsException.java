package org.jujuberouter.settings;

/** Thrown if a stored settings document cannot be decoded. */
public class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    private SettingsException(String message, Throwable cause) {
        super(message, cause);
    }

    static SettingsException unreadable(String reason, Throwable cause) {
        return new SettingsException("the settings document cannot be read: " + reason, cause);
    }
}
