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

/** An engine that runs whatever it is sent and counts how far that exceeds what it can bear. */
final class SimulatedEngine {
    static final Capacity WARM = Capacity.of(8, 400_000);
    static final Capacity COLD = Capacity.of(2, 100_000);

    /** After it turned cold in place, new work may come for a report period, the life of a permit and delivery. */
    private static final long NOTICE_MS = 2_200;

    private static final long COLD_MS = 5_000;
    private static final long DOUBLING_MS = 4_900;

    final EndpointId id;
    final Map<RequestId, Running> running = new LinkedHashMap<>();
    boolean leaving;
    long closedAt = Long.MAX_VALUE;
    long peakSlots;
    long peakTokens;
    long startedCount;
    int overloads;
    int startsAfterNotice;
    String firstOverload = "";

    private long boot = 1;
    private long coldSince = -1_000_000;
    private long upAt;
    private boolean noticed = true;

    SimulatedEngine(EndpointId id) {
        this.id = id;
    }

    boolean up(long nowMs) {
        return nowMs >= upAt;
    }

    /** Restarts: what ran is lost and its connections break. */
    void restart(long nowMs, long downMs) {
        List<Running> lost = List.copyOf(running.values());
        running.clear();
        boot++;
        upAt = nowMs + downMs;
        coldSince = upAt;
        noticed = true;
        lost.forEach(work -> work.ended.accept(PermitEnd.FAILED));
    }

    /** Turns cold without a restart: what ran goes on. */
    void turnCold(long nowMs) {
        coldSince = nowMs;
        noticed = false;
    }

    Capacity bears(long nowMs) {
        long warmFor = nowMs - coldSince - COLD_MS;
        int doublings = warmFor < 0 ? 0 : (int) Math.min(10, warmFor / DOUBLING_MS);
        return Capacity.of(
                Math.min(WARM.slots(), COLD.slots() << doublings), Math.min(WARM.tokens(), COLD.tokens() << doublings));
    }

    void start(Running work, long nowMs) {
        running.put(work.permit.id(), work);
        startedCount++;
        long tokens = running.values().stream().mapToLong(Running::tokens).sum();
        peakSlots = Math.max(peakSlots, running.size());
        peakTokens = Math.max(peakTokens, tokens);
        Capacity can = bears(nowMs);
        boolean held = noticed || nowMs - coldSince > NOTICE_MS;
        if (held && (running.size() > can.slots() || tokens > can.tokens())) {
            overloads++;
            firstOverload +=
                    overloads > 1 ? "" : nowMs + " ms: " + running.size() + ", " + tokens + " of " + can + work;
        }
        startsAfterNotice += nowMs - 3_000 > closedAt ? 1 : 0;
    }

    EndpointReport report(long nowMs) {
        return new EndpointReport(boot, nowMs - coldSince < COLD_MS, leaving, WARM, COLD);
    }

    List<ListedRequest> list(long nowMs) {
        return running.values().stream().map(work -> work.row(nowMs)).toList();
    }

    /** One request that runs, with what its holder wants to hear. */
    record Running(Permit permit, long prefilledMs, Consumer<PermitEnd> ended) {
        long tokens() {
            return permit.request().tokens();
        }

        private ListedRequest row(long nowMs) {
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
