package org.jujuberouter.cli;

import java.time.Instant;
import org.jujuberouter.settings.ChangeRecord;

/** Formats changes for operators. */
final class HistoryText {
    private HistoryText() {}

    static String line(ChangeRecord c) {
        return "version " + c.version() + " by " + c.author() + " at " + Instant.ofEpochMilli(c.timeMs()) + ": "
                + c.summary() + " [" + String.join(", ", c.paths()) + "] change " + c.changeId();
    }
}
