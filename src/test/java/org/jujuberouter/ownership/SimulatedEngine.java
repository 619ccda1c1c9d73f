package org.jujuberouter.ownership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jujuberouter.admission.Capacity;
import org.jujuberouter.admission.EndpointReport;
import org.jujuberouter.admission.ListedRequest;
import org.jujuberouter.admission.Permit;
import org.jujuberouter.admission.PermitEnd;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.RequestId;

/** An engine that runs every request it receives and counts how often that exceeds its capacity. */
final class SimulatedEngine {
    static final Capacity WARM = Capacity.of(8, 400_000);
    static final Capacity COLD = Capacity.of(2, 100_000);

    /**
     * After a cold start in place, requests may arrive for a report period, the lifetime of a permit and a delivery.
     */
    private static final long NOTICE_MS = 2_200;

    private static final long COLD_MS = 5_000;
    private static final long DOUBLING_MS = 4_900;

    final EndpointId id;
    final Map<RequestId, RunningRequest> running = new LinkedHashMap<>();
    boolean leaving;
    long closedAtMs = Long.MAX_VALUE;
    long peakSlots;
    long peakTokens;
    long startCount;
    int overloads;
    int startsAfterClosing;
    String firstOverload = "";

    private long boot = 1;
    private long coldSinceMs = -1_000_000;
    private long upAtMs;
    private boolean coldStartKnown = true;

    SimulatedEngine(EndpointId id) {
        this.id = id;
    }

    boolean up(long nowMs) {
        return nowMs >= upAtMs;
    }

    /** Restarts the engine; running requests are lost and their connections are reset. */
    void restart(long nowMs, long downMs) {
        List<RunningRequest> lost = List.copyOf(running.values());
        running.clear();
        boot++;
        upAtMs = nowMs + downMs;
        coldSinceMs = upAtMs;
        coldStartKnown = true;
        lost.forEach(work -> work.ended.accept(PermitEnd.FAILED));
    }

    /** Becomes cold without a restart; running requests continue. */
    void coldStartInPlace(long nowMs) {
        coldSinceMs = nowMs;
        coldStartKnown = false;
    }

    Capacity capacity(long nowMs) {
        long warmFor = nowMs - coldSinceMs - COLD_MS;
        int doublings = warmFor < 0 ? 0 : (int) Math.min(10, warmFor / DOUBLING_MS);
        return Capacity.of(
                Math.min(WARM.slots(), COLD.slots() << doublings), Math.min(WARM.tokens(), COLD.tokens() << doublings));
    }

    void start(RunningRequest work, long nowMs) {
        running.put(work.permit.id(), work);
        startCount++;
        long tokens =
                running.values().stream().mapToLong(RunningRequest::tokens).sum();
        peakSlots = Math.max(peakSlots, running.size());
        peakTokens = Math.max(peakTokens, tokens);
        Capacity capacity = capacity(nowMs);
        boolean limitKnown = coldStartKnown || nowMs - coldSinceMs > NOTICE_MS;
        if (limitKnown && (running.size() > capacity.slots() || tokens > capacity.tokens())) {
            overloads++;
            firstOverload +=
                    overloads > 1 ? "" : nowMs + " ms: " + running.size() + ", " + tokens + " of " + capacity + work;
        }
        startsAfterClosing += nowMs - 3_000 > closedAtMs ? 1 : 0;
    }

    EndpointReport report(long nowMs) {
        return new EndpointReport(boot, nowMs - coldSinceMs < COLD_MS, leaving, WARM, COLD);
    }

    List<ListedRequest> list(long nowMs) {
        return running.values().stream()
                .map(work -> work.toEngineRequest(nowMs))
                .toList();
    }

    /** A running request with the callback for its end. */
    record RunningRequest(Permit permit, long prefilledMs, Consumer<PermitEnd> ended) {
        long tokens() {
            return permit.request().tokens();
        }

        private ListedRequest toEngineRequest(long nowMs) {
            var request = permit.request();
            return new ListedRequest(
                    request.id(),
                    request.holder(),
                    permit.fence(),
                    request.promptClass(),
                    tokens(),
                    nowMs < prefilledMs);
        }
    }
}
