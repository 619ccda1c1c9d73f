package org.jujuberouter.standin.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Ticker;
import org.jujuberouter.standin.model.EngineModelException.Reason;

/**
 * An emulated model engine.
 *
 * <p>The engine works in steps. At the start of a step it fills its batch from the waiting requests by priority and
 * plans the step; at the end of the step the results take effect. The engine has no thread: {@link #advance()}
 * simulates it up to the current time of the ticker, and the other methods, except {@link #nextEventNanos()},
 * {@link #isUp()} and {@link #downReason()}, call it first. In virtual time a driver moves the ticker to
 * {@code nextEventNanos()}; in real time {@code advance} may be called at any interval, because the result does not
 * depend on how often it is called.
 *
 * <p>The engine has no admission control: it never rejects a request for lack of memory, but crashes when its KV memory
 * is exceeded, when the bytes of unread answers exceed their limit, or when a request exceeds the limit of a cold
 * start. A crash loses all state except the log of cache events with its sequence numbers, the highest fencing number,
 * the loaded model and the role.
 */
public final class EngineModel {
    private static final long NEVER = Long.MAX_VALUE;

    private final EngineSettings settings;
    private final Ticker ticker;
    private final EngineListener listener;
    private final StepPlanner planner;
    private final CacheEventLog cacheLog;
    private final PrefixCache cache;
    private final Map<RequestId, Sequence> requests = new LinkedHashMap<>();
    private final List<Sequence> batch = new ArrayList<>();
    private final PriorityQueue<Sequence> waiting = new PriorityQueue<>(StepPlanner.BY_PRIORITY);
    private final ArrayDeque<LoadReport> reports = new ArrayDeque<>();
    private LoadedModel loaded;
    private EngineRole role = EngineRole.MIXED;
    private LoadedModel pendingModel;
    private String downReason = "";
    private long clockNanos;
    private long stepEndNanos = NEVER;
    private long modelLoadEndNanos = NEVER;
    private long nextReportNanos;
    private long coldUntilNanos;
    private long nextArrivalIndex;
    private long highestFencing;
    private boolean advancing;

    private EngineModel(EngineSettings settings, Ticker ticker, LoadedModel loaded, EngineListener listener) {
        this.settings = settings;
        this.ticker = ticker;
        this.loaded = loaded;
        this.listener = listener;
        this.planner = new StepPlanner(settings);
        this.cacheLog = new CacheEventLog(settings);
        this.cache = new PrefixCache(settings.cacheTokens() / settings.blockTokens(), cacheLog);
        this.clockNanos = ticker.nanos();
        this.nextReportNanos = clockNanos;
    }

    /** Returns a cold engine that has just started. */
    public static EngineModel cold(
            EngineSettings settings, Ticker ticker, LoadedModel loaded, EngineListener listener) {
        EngineModel engine = warm(settings, ticker, loaded, listener);
        engine.enterColdStart();
        return engine;
    }

    /** Returns an engine that has completed its cold start. */
    public static EngineModel warm(
            EngineSettings settings, Ticker ticker, LoadedModel loaded, EngineListener listener) {
        EngineModel engine = new EngineModel(settings, ticker, loaded, listener);
        engine.coldUntilNanos = engine.clockNanos;
        return engine;
    }

    /** Submits a request; {@link #status} reports it from now on. */
    public synchronized RequestStatus submit(EngineRequest request) throws EngineModelException {
        advance();
        requireUp();
        if (pendingModel != null || !request.target().accepts(loaded)) {
            throw new EngineModelException(Reason.WRONG_MODEL, request.target() + " is not loaded, but " + loaded);
        }
        if (requests.containsKey(request.id())) {
            throw new EngineModelException(Reason.DUPLICATE_REQUEST, "request " + request.id() + " exists");
        }
        Sequence s = new Sequence(request, nextArrivalIndex++, clockNanos);
        requests.put(request.id(), s);
        waiting.add(s);
        if (inColdStart() && batch.size() + waiting.size() > settings.coldConcurrency()) {
            goDown("overload in cold start");
            requireUp();
        }
        startStepIfIdle();
        return s.status();
    }

    /** Simulates the engine up to the current time of the ticker. */
    public synchronized void advance() {
        if (advancing) {
            return;
        }
        advancing = true;
        try {
            long now = ticker.nanos();
            while (Math.min(nextEvent(), nextReportNanos) <= now) {
                if (nextReportNanos <= nextEvent()) {
                    clockNanos = nextReportNanos;
                    recordLoadReport(now);
                } else if (modelLoadEndNanos <= stepEndNanos) {
                    clockNanos = modelLoadEndNanos;
                    finishModelLoad();
                } else {
                    clockNanos = stepEndNanos;
                    finishStep();
                }
            }
            clockNanos = Math.max(clockNanos, now);
        } finally {
            advancing = false;
        }
    }

    /** Returns when the current step or model load ends, or {@link Long#MAX_VALUE} if the engine is idle. */
    public synchronized long nextEventNanos() {
        return nextEvent();
    }

    /**
     * Returns the answer tokens from an offset on and acknowledges those before it.
     *
     * <p>Acknowledged tokens remain available until the request is cancelled or its retention time ends, so that a
     * reader can resume at a lower offset after its connection broke.
     */
    public synchronized StreamPart poll(RequestId id, int fromOffset) throws EngineModelException {
        advance();
        Sequence s = requireKnown(id);
        if (fromOffset < 0 || fromOffset > s.generated) {
            throw new EngineModelException(
                    Reason.BAD_OFFSET, "offset " + fromOffset + " of request " + id + " is not in 0.." + s.generated);
        }
        s.acknowledged = Math.max(s.acknowledged, fromOffset);
        return new StreamPart(id, fromOffset, s.tokens(fromOffset, s.generated), s.state);
    }

    /** Returns the status of a request, export or reservation. */
    public synchronized Optional<RequestStatus> status(RequestId id) {
        advance();
        return Optional.ofNullable(requests.get(id)).map(Sequence::status);
    }

    /** Removes a request, export or reservation and frees its memory; returns whether it existed. */
    public synchronized boolean cancel(RequestId id) {
        advance();
        Sequence s = requests.remove(id);
        if (s == null) {
            return false;
        }
        waiting.remove(s);
        batch.remove(s);
        return true;
    }

    /** Returns all requests, exports and reservations. */
    public synchronized List<RequestStatus> list() {
        advance();
        return requests.values().stream().map(Sequence::status).toList();
    }

    /** Returns the newest load report that is at least as old as the load lag, or the oldest; empty while down. */
    public synchronized Optional<LoadReport> load() {
        advance();
        long readableNanos = clockNanos - settings.loadLag().toNanos();
        while (reports.size() > 1 && secondOldestReport().takenNanos() <= readableNanos) {
            reports.removeFirst();
        }
        return isUp() ? Optional.ofNullable(reports.peekFirst()) : Optional.empty();
    }

    /** Returns the cache events after a sequence number whose delay has passed. */
    public synchronized List<CacheEvent> cacheEvents(long after) {
        advance();
        return cacheLog.readableAfter(clockNanos, after);
    }

    /** Executes an order, unless fencing numbers are checked and its number is stale. */
    public synchronized OrderReply execute(EngineOrder order) throws EngineModelException {
        advance();
        requireUp();
        if (settings.checksFencing() && order.fencing() < highestFencing) {
            return new OrderReply.Stale(highestFencing);
        }
        highestFencing = Math.max(highestFencing, order.fencing());
        switch (order) {
            case EngineOrder.LoadModel load -> {
                pendingModel = load.target();
                startModelLoadIfIdle();
            }
            case EngineOrder.LoadAdapter load ->
                loaded = LoadedModel.of(loaded.model(), load.adapter(), loaded.version());
            case EngineOrder.ChangeRole change -> role = change.role();
        }
        return new OrderReply.Accepted();
    }

    /** Stops a running request and holds its KV memory until {@link #cancel}. */
    public synchronized KvSnapshot exportKv(RequestId id) throws EngineModelException {
        advance();
        Sequence s = requireKnown(id);
        if (!s.isRunning()) {
            throw new EngineModelException(Reason.UNKNOWN_REQUEST, "request " + id + " does not run");
        }
        batch.remove(s);
        s.state = RequestState.EXPORTED;
        return new KvSnapshot(s.request, s.prefilled, s.generated);
    }

    /** Reserves KV memory under an id until an import uses it or {@link #cancel} frees it. */
    public synchronized void reserve(RequestId id, String holder, long tokens) throws EngineModelException {
        advance();
        requireUp();
        if (requests.containsKey(id)) {
            throw new EngineModelException(Reason.DUPLICATE_REQUEST, "request " + id + " exists");
        }
        EngineRequest request = EngineRequest.of(id, 0, 0, new long[0], 0).heldBy(holder);
        Sequence s = new Sequence(request, nextArrivalIndex++, clockNanos);
        s.state = RequestState.RESERVED;
        s.reservedTokens = tokens;
        requests.put(id, s);
        crashIfOutOfMemory();
        requireUp();
    }

    /** Continues an exported request in the KV memory reserved under the given id. */
    public synchronized RequestStatus importKv(RequestId reservation, KvSnapshot snapshot) throws EngineModelException {
        advance();
        Sequence reserved = requireKnown(reservation);
        if (reserved.state != RequestState.RESERVED || reserved.reservedTokens < snapshot.tokens()) {
            throw new EngineModelException(
                    Reason.RESERVATION_TOO_SMALL, snapshot.tokens() + " tokens are not reserved under " + reservation);
        }
        RequestId id = snapshot.request().id();
        if (!id.equals(reservation) && requests.containsKey(id)) {
            throw new EngineModelException(Reason.DUPLICATE_REQUEST, "request " + id + " exists");
        }
        requests.remove(reservation);
        Sequence s = new Sequence(snapshot.request(), nextArrivalIndex++, clockNanos);
        s.prefilled = snapshot.prefilled();
        s.generated = snapshot.offset();
        s.acknowledged = snapshot.offset();
        s.state = s.pendingPrefillTokens() > 0 || s.generated == 0 ? RequestState.PREFILL : RequestState.DECODING;
        requests.put(id, s);
        batch.add(s);
        startStepIfIdle();
        return s.status();
    }

    /** Returns the KV memory in use, in tokens. */
    public synchronized long kvTokens() {
        advance();
        return totalKvTokens();
    }

    /** Returns the number of generated bytes that are not acknowledged. */
    public synchronized long heldBytes() {
        advance();
        return totalHeldBytes();
    }

    /** Returns whether the engine is in cold start. */
    public synchronized boolean isCold() {
        advance();
        return inColdStart();
    }

    /** Returns whether the engine is up. */
    public synchronized boolean isUp() {
        return downReason.isEmpty();
    }

    /** Returns the reason for which the engine is down, or an empty string. */
    public synchronized String downReason() {
        return downReason;
    }

    /** Puts the engine into cold start; requests in flight continue slowly. */
    public synchronized void enterColdStart() {
        advance();
        coldUntilNanos = clockNanos + settings.coldDuration().toNanos();
    }

    /** Crashes the engine; the reason becomes its {@link #downReason()}. */
    public synchronized void crash(String reason) {
        advance();
        goDown(reason);
    }

    /** Restarts the engine, cold and with an empty prefix cache. */
    public synchronized void restart() {
        advance();
        if (isUp()) {
            goDown("restart");
        }
        downReason = "";
        cache.clear(clockNanos);
        reports.clear();
        nextReportNanos = clockNanos;
        enterColdStart();
        recordLoadReport(clockNanos);
    }

    private long nextEvent() {
        return Math.min(stepEndNanos, modelLoadEndNanos);
    }

    private boolean inColdStart() {
        return clockNanos < coldUntilNanos;
    }

    private void startStepIfIdle() {
        if (stepEndNanos != NEVER || !isUp()) {
            return;
        }
        while (batch.size() < settings.maxBatch() && !waiting.isEmpty()) {
            Sequence s = waiting.poll();
            long cachedPrefix = (long) cache.match(s.request.blocks()) * settings.blockTokens();
            // The last prompt token is always processed, because it yields the first answer token.
            s.cached = Math.max(0, Math.min(cachedPrefix, s.request.promptTokens() - 1));
            s.prefilled = s.cached;
            s.state = RequestState.PREFILL;
            batch.add(s);
        }
        if (!batch.isEmpty()) {
            stepEndNanos = clockNanos + planner.plan(batch, inColdStart());
        }
    }

    private void finishStep() {
        stepEndNanos = NEVER;
        List<Sequence> firstTokens = new ArrayList<>();
        List<Sequence> completed = new ArrayList<>();
        for (Sequence s : batch) {
            applyStep(s, firstTokens, completed);
            if (!isUp()) {
                return;
            }
        }
        batch.removeAll(completed);
        removeExpired();
        crashIfOutOfMemory();
        if (isUp()) {
            firstTokens.forEach(s -> listener.firstToken(s.status()));
            completed.forEach(s -> listener.completed(s.status()));
        }
        startStepIfIdle();
        startModelLoadIfIdle();
    }

    /** Applies the results of a step to a sequence and adds it to the lists if it got its first or its last token. */
    private void applyStep(Sequence s, List<Sequence> firstTokens, List<Sequence> completed) {
        if (s.state == RequestState.PREFILL && (s.prefillChunk > 0 || s.pendingPrefillTokens() == 0)) {
            int firstBlock = (int) (s.prefilled / settings.blockTokens());
            s.prefilled += s.prefillChunk;
            s.prefillChunk = 0;
            cache.store(clockNanos, s.request.blocks(), firstBlock, (int) (s.prefilled / settings.blockTokens()));
            if (s.prefilled < s.request.promptTokens()) {
                return;
            }
            if (s.request.poisonous()) {
                goDown("crashed while processing request " + s.request.id());
                return;
            }
            s.state = RequestState.DECODING;
        } else if (s.state != RequestState.DECODING) {
            return;
        }
        s.generated++;
        if (s.firstTokenNanos < 0) {
            s.firstTokenNanos = clockNanos;
            firstTokens.add(s);
        }
        if (s.generated >= s.request.answerTokens()) {
            s.state = RequestState.COMPLETED;
            s.completedNanos = clockNanos;
            completed.add(s);
        }
    }

    private void removeExpired() {
        long completedBefore = clockNanos - settings.linger().toNanos();
        requests.values()
                .removeIf(s ->
                        s.state == RequestState.COMPLETED && s.heldBytes() == 0 && s.completedNanos < completedBefore);
    }

    private void crashIfOutOfMemory() {
        if (totalKvTokens() > settings.kvTokens()) {
            goDown("out of memory for requests");
        } else if (totalHeldBytes() > settings.heldBytesLimit()) {
            goDown("out of memory for unread answers");
        }
    }

    private void startModelLoadIfIdle() {
        if (pendingModel != null && modelLoadEndNanos == NEVER && batch.isEmpty() && waiting.isEmpty()) {
            modelLoadEndNanos = clockNanos + settings.modelLoadTime().toNanos();
        }
    }

    private void finishModelLoad() {
        modelLoadEndNanos = NEVER;
        loaded = pendingModel;
        pendingModel = null;
        cache.clear(clockNanos);
        coldUntilNanos = clockNanos + settings.coldDuration().toNanos();
    }

    private void goDown(String reason) {
        downReason = reason;
        requests.clear();
        batch.clear();
        waiting.clear();
        pendingModel = null;
        stepEndNanos = NEVER;
        modelLoadEndNanos = NEVER;
        listener.down(reason);
    }

    private void recordLoadReport(long now) {
        long interval = settings.loadInterval().toNanos();
        long skipped = Math.max(0, now - clockNanos - settings.loadLag().toNanos()) / interval;
        // Reports of an idle engine are equal; those that are older than the load lag by now are skipped.
        nextReportNanos = clockNanos
                + interval * (stepEndNanos == NEVER && modelLoadEndNanos == NEVER ? Math.max(1, skipped) : 1);
        Map<Integer, Long> pending = new TreeMap<>();
        for (Sequence s : requests.values()) {
            if (s.pendingPrefillTokens() > 0) {
                pending.merge(s.request.priority(), s.pendingPrefillTokens(), Long::sum);
            }
        }
        reports.addLast(new LoadReport(
                clockNanos,
                batch.size(),
                waiting.size(),
                pending,
                totalKvTokens(),
                settings.kvTokens(),
                totalHeldBytes(),
                inColdStart(),
                loaded,
                role));
        while (reports.size() > 1
                && secondOldestReport().takenNanos()
                        <= clockNanos - settings.loadLag().toNanos()) {
            reports.removeFirst();
        }
    }

    private LoadReport secondOldestReport() {
        var all = reports.iterator();
        all.next();
        return all.next();
    }

    private long totalKvTokens() {
        long sum = 0;
        for (Sequence s : requests.values()) {
            sum += s.kvTokens();
        }
        return sum;
    }

    private long totalHeldBytes() {
        long sum = 0;
        for (Sequence s : requests.values()) {
            sum += s.heldBytes();
        }
        return sum;
    }

    private Sequence requireKnown(RequestId id) throws EngineModelException {
        requireUp();
        Sequence s = requests.get(id);
        if (s == null) {
            throw new EngineModelException(Reason.UNKNOWN_REQUEST, "request " + id + " is unknown");
        }
        return s;
    }

    private void requireUp() throws EngineModelException {
        if (!isUp()) {
            throw new EngineModelException(Reason.DOWN, "the engine is down: " + downReason);
        }
    }
}
