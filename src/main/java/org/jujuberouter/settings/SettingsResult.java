package org.jujuberouter.settings;

import java.util.List;

/** How a change of the settings ended. */
public sealed interface SettingsResult {
    /**
     * The change is in the store.
     *
     * @param record the change with its version
     * @param resolved whether a reply was lost and the change was recognised by its id
     */
    record Accepted(ChangeRecord record, boolean resolved) implements SettingsResult {}

    /**
     * Other changes came first; nothing was changed.
     *
     * @param version the version in the store
     * @param winners the changes that came first, oldest first
     */
    record Conflict(long version, List<ChangeRecord> winners) implements SettingsResult {}

    /**
     * The change is not allowed; nothing was changed.
     *
     * @param errors all reasons
     */
    record Invalid(List<SettingsError> errors) implements SettingsResult {}

    /**
     * The store did not answer; nothing was changed.
     *
     * @param reason what the store's client reported
     */
    record Unavailable(String reason) implements SettingsResult {}

    /**
     * The store did not tell in time whether the change took effect; it may still do so.
     *
     * @param reason what the store's client reported
     */
    record Unknown(String reason) implements SettingsResult {}
}
