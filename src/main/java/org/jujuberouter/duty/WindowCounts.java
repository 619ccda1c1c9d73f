package org.jujuberouter.duty;

import java.util.Map;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.Incarnation;

/**
 * The requests of one window whose execution endpoints began for one instance, cumulative.
 *
 * @param source the incarnation that counted them
 * @param window the number of the window
 * @param counts the number of requests per customer
 */
public record WindowCounts(Incarnation source, long window, Map<CustomerId, Long> counts) {
    /** Copies the map. */
    public WindowCounts {
        counts = Map.copyOf(counts);
    }
}
