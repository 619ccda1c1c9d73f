package org.jujuberouter.duty;

import java.util.List;
import java.util.Map;
import org.jujuberouter.id.CustomerId;

/** What {@link DutyControl} has others do; each result is reported back to it. */
public interface DutyActions {
    /** Creates the holder's key under the lease of the registration unless the key exists. */
    void createHolder();

    /** Deletes the holder's key if it still has the given revision. */
    void deleteHolder(long revision);

    /**
     * Commits the counts of a window, if the holder's key still has the revision of the term and the window has no key,
     * and deletes the keys of other windows.
     */
    void commitWindow(DutyTerm term, long window, Map<CustomerId, Long> counts, List<Long> obsolete);

    /** Sends the counts of a window to the platform. */
    void sendUsage(DutyTerm term, long window, Map<CustomerId, Long> counts);

    /** Logs an event. */
    void log(String event, Map.Entry<?, ?>... fields);
}
