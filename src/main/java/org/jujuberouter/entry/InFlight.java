package org.jujuberouter.entry;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.jujuberouter.platform.ListedMember;

/** Counts this instance's requests in flight at each endpoint. */
final class InFlight {
    private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();

    private InFlight() {}

    static InFlight empty() {
        return new InFlight();
    }

    void add(String endpoint, int delta) {
        counts.computeIfAbsent(endpoint, _ -> new AtomicInteger()).addAndGet(delta);
    }

    int at(String endpoint) {
        AtomicInteger count = counts.get(endpoint);
        return count == null ? 0 : count.get();
    }

    Optional<ListedMember> least(List<ListedMember> endpoints) {
        return endpoints.stream()
                .filter(m -> m.state() == ListedMember.State.LIVE)
                .min(Comparator.comparingInt(m -> at(m.name())));
    }
}
