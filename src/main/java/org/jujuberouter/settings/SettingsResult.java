package org.jujuberouter.settings;

import java.util.List;

/** Result of a change of the settings. */
public sealed interface SettingsResult {
    /**
     * The change was committed to the store.
     *
     * @param record the history entry of the change, with its version
     * @param resolved whether the change was found in the history by its identifier after the reply to a write was lost
     */
    record Accepted(ChangeRecord record, boolean resolved) implements SettingsResult {}

    /**
     * Conflicting changes were committed first; the document was not changed.
     *
     * @param version the document version in the store
     * @param winners the conflicting changes, oldest first
     */
    record Conflict(long version, List<ChangeRecord> winners) implements SettingsResult {}

    /**
     * The change is not valid; the document was not changed.
     *
     * @param errors all validation errors
     */
    record Invalid(List<SettingsError> errors) implements SettingsResult {}

    /**
     * The store did not respond in time; the document was not changed.
     *
     * @param reason the last error of the store client
     */
    record Unavailable(String reason) implements SettingsResult {}

    /**
     * The store did not confirm the write in time; it may have taken effect or may still do so.
     *
     * @param reason the last error of the store client
     */
    record Unknown(String reason) implements SettingsResult {}
}
