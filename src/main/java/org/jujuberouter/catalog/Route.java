package org.jujuberouter.catalog;

import java.util.List;
import org.jujuberouter.id.ServiceName;

/**
 * One route: which calls it takes and what the operator wants for them.
 *
 * @param name the operator's name of the route
 * @param host the host that a call must name
 * @param prefix the start of the path, with a slash at both ends
 * @param retryPolicy what may be repeated
 * @param timeoutMs longest time that a call is kept, in milliseconds
 * @param objectiveMs time to the answer, or to the first event of a stream, that still counts as on time
 * @param gapObjectiveMs longest pause between two events of a stream that still counts as on time; 0 where not declared
 * @param callerTimeoutMs time that callers wait for an answer, or for the next event of a stream, before they leave
 * @param priority rank of its calls, 0 first
 * @param targets the services that take its calls
 * @param maxAttempts the most endpoints that one call may be sent to
 * @param publicAccess whether calls need no API key
 */
public record Route(
        String name,
        String host,
        String prefix,
        RetryPolicy retryPolicy,
        long timeoutMs,
        long objectiveMs,
        long gapObjectiveMs,
        long callerTimeoutMs,
        int priority,
        List<WeightedService> targets,
        int maxAttempts,
        boolean publicAccess) {
    /** Copies the list. */
    public Route {
        targets = List.copyOf(targets);
    }

    /** A service and its share of a route's calls. */
    public record WeightedService(ServiceName service, double weight) {}

    /** Returns the service for a call; the same key always gets the same one while the weights stay. */
    public ServiceName serviceFor(int key) {
        double total = 0;
        for (WeightedService target : targets) {
            total += target.weight();
        }
        double remaining = Integer.toUnsignedLong(key * 0x9E3779B9) / (double) (1L << 32) * total;
        for (WeightedService target : targets) {
            remaining -= target.weight();
            if (remaining < 0) {
                return target.service();
            }
        }
        return targets.getLast().service();
    }
}
