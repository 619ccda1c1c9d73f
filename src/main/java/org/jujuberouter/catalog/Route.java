package org.jujuberouter.catalog;

import java.util.List;
import org.jujuberouter.id.ServiceName;

/**
 * A route: the calls that it matches and the policies that the operator declared for them.
 *
 * @param name name that the operator gave to the route
 * @param host host that a call must name
 * @param prefix path prefix, with a slash at both ends
 * @param retryPolicy whether calls may be retried
 * @param timeoutMs timeout of a call, in milliseconds
 * @param objectiveMs objective for the time to the answer, or to the first event of a stream, in
 *     milliseconds
 * @param gapObjectiveMs objective for the gap between two events of a stream, in milliseconds; 0 if not declared
 * @param callerTimeoutMs time after which callers without an answer, or without the next event of a stream,
 *     disconnect, in milliseconds
 * @param priority priority of its calls, 0 is the highest
 * @param targets services that serve its calls
 * @param maxAttempts maximum number of endpoints to which a call is sent
 * @param publicAccess whether calls are accepted without an API key
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
    public Route {
        targets = List.copyOf(targets);
    }

    /** Returns a route whose entry cannot be read; its calls are refused until an operator corrects it. */
    public static Route unreadable(String name, String host, String prefix) {
        return new Route(name, host, prefix, RetryPolicy.NON_IDEMPOTENT, 0, 0, 0, 0, 0, List.of(), 1, false);
    }

    /** Returns whether the route leads to a service. */
    public boolean hasService() {
        return !targets.isEmpty();
    }

    /** A service and its share of a route's calls. */
    public record WeightedService(ServiceName service, double weight) {}

    /** Selects a service by weight; a key is always mapped to the same service while the weights are unchanged. */
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
