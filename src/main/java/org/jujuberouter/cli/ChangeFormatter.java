package org.jujuberouter.cli;

import java.time.Instant;
import org.jujuberouter.settings.ChangeRecord;

/** Formats recorded changes of the settings for display. */
final class ChangeFormatter {
    private ChangeFormatter() {}

    static String format(ChangeRecord change) {
        return "version " + change.version() + " by " + change.author() + " at " + Instant.ofEpochMilli(change.timeMs())
                + ": " + change.summary() + " [" + String.join(", ", change.paths()) + "] change " + change.changeId();
    }
}
