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
 * plans the step; at the end of the step the results take effect. It has no thread: {@link #advance()} computes
 * everything up to the ticker's time, and each call advances first. In virtual time a driver moves its ticker to
 * {@link #nextEventNanos()}; in real time any regular call of {@code advance} will do, because the result does not
 * depend on how often it is called.
 *
 * <p>The engine trusts its callers: it never refuses a request for want of memory, but crashes when the memory is
 * exceeded, when unread answers outgrow their limit, or when it is cold and gets more requests than it bears. A crash
 * loses everything but the sequence numbers of cache events and the highest fencing number.
 */
public final class EngineModel {
    private static final long NEVER = Long.MAX_VALUE;

    private final EngineSettings settings;
    private final Ticker ticker;
    private final EngineListener listener;
    private final StepPlanner planner;
    private final CacheEventLog cacheLog;
    private final PrefixCache cache;
    private final Map<RequestId, Sequence> known = new LinkedHashMap<>();
    private final List<Sequence> batch = new ArrayList<>();
    private final PriorityQueue<Sequence> waiting = new PriorityQueue<>(StepPlanner.BY_PRIORITY);
    private final ArrayDeque<LoadReport> reports = new ArrayDeque<>();
    private LoadedModel loaded;
    private EngineRole role = EngineRole.MIXED;
    private LoadedModel pendingLoad;
    private String downReason = "";
    private long clock;
    private long stepEnd = NEVER;
    private long loadEnd = NEVER;
    private long nextReport;
    private long coldUntil;
    private long nextOrder;
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
        this.clock = ticker.nanos();
        this.nextReport = clock;
    }

    /** Returns a cold engine that has just started. */
    public static EngineModel cold(
            EngineSettings settings, Ticker ticker, LoadedModel loaded, EngineListener listener) {
        EngineModel engine = warm(settings, ticker, loaded, listener);
        engine.turnCold();
        return engine;
    }

    /** Returns an engine whose cold start is over. */
    public static EngineModel warm(
            EngineSettings settings, Ticker ticker, LoadedModel loaded, EngineListener listener) {
        EngineModel engine = new EngineModel(settings, ticker, loaded, listener);
        engine.coldUntil = engine.clock;
        return engine;
    }

    /** Accepts a request; its state can be asked for from now on. */
    public synchronized RequestStatus submit(EngineRequest request) throws EngineModelException {
        advance();
        requireUp();
        if (pendingLoad != null || !request.target().accepts(loaded)) {
            throw new EngineModelException(Reason.WRONG_MODEL, request.target() + " is not loaded, but " + loaded);
        }
        if (known.containsKey(request.id())) {
            throw new EngineModelException(Reason.DUPLICATE_REQUEST, "request " + request.id() + " exists");
        }
        Sequence s = new Sequence(request, nextOrder++, clock);
        known.put(request.id(), s);
        waiting.add(s);
        if (isColdNow() && batch.size() + waiting.size() > settings.coldConcurrency()) {
            goDown("overload in cold start");
            requireUp();
        }
        startStepIfIdle();
        return s.status();
    }

    /** Computes everything up to the ticker's time. */
    public synchronized void advance() {
        if (advancing) {
            return;
        }
        advancing = true;
        try {
            long now = ticker.nanos();
            while (Math.min(nextEvent(), nextReport) <= now) {
                if (nextReport <= nextEvent()) {
                    clock = nextReport;
                    takeReport(now);
                } else if (loadEnd <= stepEnd) {
                    clock = loadEnd;
                    finishLoad();
                } else {
                    clock = stepEnd;
                    finishStep();
                }
            }
            clock = Math.max(clock, now);
        } finally {
            advancing = false;
        }
    }

    /** Returns the time at which something happens if nobody calls before, or {@link Long#MAX_VALUE}. */
    public synchronized long nextEventNanos() {
        return nextEvent();
    }

    /**
     * Returns the answer from an offset and acknowledges everything before it.
     *
     * <p>Acknowledged text stays available until the request is cancelled or has lingered, so that a reader whose
     * connection broke can resume at a lower offset.
     */
    public synchronized StreamPart poll(RequestId id, int since) throws EngineModelException {
        advance();
        Sequence s = require(id);
        if (since < 0 || since > s.generated) {
            throw new EngineModelException(
                    Reason.BAD_OFFSET, "offset " + since + " of request " + id + " is not in 0.." + s.generated);
        }
        s.acknowledged = Math.max(s.acknowledged, since);
        return new StreamPart(id, since, s.tokens(since, s.generated), s.state);
    }

    /** Returns the state of a request, export or reservation. */
    public synchronized Optional<RequestStatus> status(RequestId id) {
        advance();
        return Optional.ofNullable(known.get(id)).map(Sequence::status);
    }

    /** Forgets a request, export or reservation and frees what it holds; tells whether it was known. */
    public synchronized boolean cancel(RequestId id) {
        advance();
        Sequence s = known.remove(id);
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
        return known.values().stream().map(Sequence::status).toList();
    }

    /** Returns the newest load report that is old enough to be read; it is empty while the engine is down. */
    public synchronized Optional<LoadReport> load() {
        advance();
        long readable = clock - settings.loadLag().toNanos();
        while (reports.size() > 1 && secondReport().takenNanos() <= readable) {
            reports.removeFirst();
        }
        return up() ? Optional.ofNullable(reports.peekFirst()) : Optional.empty();
    }

    /** Returns the readable cache events with a higher sequence number. */
    public synchronized List<CacheEvent> cacheEvents(long after) {
        advance();
        return cacheLog.after(clock, after);
    }

    /** Carries out an order, unless its fencing number is old and checked. */
    public synchronized OrderReply order(EngineOrder order) throws EngineModelException {
        advance();
        requireUp();
        if (settings.checksFencing() && order.fencing() < highestFencing) {
            return new OrderReply.Stale(highestFencing);
        }
        highestFencing = Math.max(highestFencing, order.fencing());
        switch (order) {
            case EngineOrder.LoadModel load -> {
                pendingLoad = load.target();
                startLoadIfIdle();
            }
            case EngineOrder.LoadAdapter load ->
                loaded = LoadedModel.of(loaded.model(), load.adapter(), loaded.version());
            case EngineOrder.ChangeRole change -> role = change.role();
        }
        return new OrderReply.Accepted();
    }

    /** Stops a running request and holds its memory until {@link #cancel}. */
    public synchronized KvSnapshot exportKv(RequestId id) throws EngineModelException {
        advance();
        Sequence s = require(id);
        if (!s.runs()) {
            throw new EngineModelException(Reason.UNKNOWN_REQUEST, "request " + id + " does not run");
        }
        batch.remove(s);
        s.state = RequestState.EXPORTED;
        return new KvSnapshot(s.request, s.prefilled, s.generated);
    }

    /** Sets memory aside under an id until an import uses it or {@link #cancel} frees it. */
    public synchronized void reserve(RequestId id, String holder, long tokens) throws EngineModelException {
        advance();
        requireUp();
        if (known.containsKey(id)) {
            throw new EngineModelException(Reason.DUPLICATE_REQUEST, "request " + id + " exists");
        }
        EngineRequest request = EngineRequest.of(id, 0, 0, new long[0], 0).heldBy(holder);
        Sequence s = new Sequence(request, nextOrder++, clock);
        s.state = RequestState.RESERVED;
        s.reserved = tokens;
        known.put(id, s);
        crashIfOutOfMemory();
        requireUp();
    }

    /** Continues an exported request in the memory reserved under the given id. */
    public synchronized RequestStatus importKv(RequestId reservation, KvSnapshot snapshot) throws EngineModelException {
        advance();
        Sequence reserved = require(reservation);
        if (reserved.state != RequestState.RESERVED || reserved.reserved < snapshot.tokens()) {
            throw new EngineModelException(
                    Reason.RESERVATION_TOO_SMALL, snapshot.tokens() + " tokens are not reserved under " + reservation);
        }
        RequestId id = snapshot.request().id();
        if (!id.equals(reservation) && known.containsKey(id)) {
            throw new EngineModelException(Reason.DUPLICATE_REQUEST, "request " + id + " exists");
        }
        known.remove(reservation);
        Sequence s = new Sequence(snapshot.request(), nextOrder++, clock);
        s.prefilled = snapshot.prefilled();
        s.generated = snapshot.offset();
        s.acknowledged = snapshot.offset();
        s.state = s.pendingPrefill() > 0 || s.generated == 0 ? RequestState.PREFILL : RequestState.DECODING;
        known.put(id, s);
        batch.add(s);
        startStepIfIdle();
        return s.status();
    }

    /** Returns the memory in use, in tokens. */
    public synchronized long kvTokens() {
        advance();
        return sumKv();
    }

    /** Returns the generated bytes that no reader acknowledged. */
    public synchronized long heldBytes() {
        advance();
        return sumBytes();
    }

    /** Tells whether the engine is in cold start. */
    public synchronized boolean isCold() {
        advance();
        return isColdNow();
    }

    /** Tells whether the engine runs. */
    public synchronized boolean up() {
        return downReason.isEmpty();
    }

    /** Returns why the engine is down, or an empty text. */
    public synchronized String downReason() {
        return downReason;
    }

    /** Puts the engine into cold start without any warning; requests in flight continue slowly. */
    public synchronized void turnCold() {
        advance();
        coldUntil = clock + settings.coldDuration().toNanos();
    }

    /** Crashes or kills the engine. */
    public synchronized void crash(String reason) {
        advance();
        goDown(reason);
    }

    /** Starts a crashed engine cold and empty. */
    public synchronized void restart() {
        advance();
        if (up()) {
            goDown("restart");
        }
        downReason = "";
        cache.clear(clock);
        reports.clear();
        nextReport = clock;
        turnCold();
        takeReport(clock);
    }

    private long nextEvent() {
        return Math.min(stepEnd, loadEnd);
    }

    private boolean isColdNow() {
        return clock < coldUntil;
    }

    private void startStepIfIdle() {
        if (stepEnd != NEVER || !up()) {
            return;
        }
        while (batch.size() < settings.maxBatch() && !waiting.isEmpty()) {
            Sequence s = waiting.poll();
            long hit = (long) cache.match(s.request.blocks()) * settings.blockTokens();
            // The last prompt token is always computed, because the first answer token follows from it.
            s.cached = Math.max(0, Math.min(hit, s.request.promptTokens() - 1));
            s.prefilled = s.cached;
            s.state = RequestState.PREFILL;
            batch.add(s);
        }
        if (!batch.isEmpty()) {
            stepEnd = clock + planner.plan(batch, isColdNow());
        }
    }

    private void finishStep() {
        stepEnd = NEVER;
        List<Sequence> first = new ArrayList<>();
        List<Sequence> done = new ArrayList<>();
        for (Sequence s : batch) {
            progress(s, first, done);
            if (!up()) {
                return;
            }
        }
        batch.removeAll(done);
        removeLingering();
        crashIfOutOfMemory();
        if (up()) {
            first.forEach(s -> listener.firstToken(s.status()));
            done.forEach(s -> listener.completed(s.status()));
        }
        startStepIfIdle();
        startLoadIfIdle();
    }

    private void progress(Sequence s, List<Sequence> first, List<Sequence> done) {
        if (s.state == RequestState.PREFILL && (s.chunk > 0 || s.pendingPrefill() == 0)) {
            int before = (int) (s.prefilled / settings.blockTokens());
            s.prefilled += s.chunk;
            s.chunk = 0;
            cache.store(clock, s.request.blocks(), before, (int) (s.prefilled / settings.blockTokens()));
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
            s.firstTokenNanos = clock;
            first.add(s);
        }
        if (s.generated >= s.request.answerTokens()) {
            s.state = RequestState.COMPLETED;
            s.completedNanos = clock;
            done.add(s);
        }
    }

    private void removeLingering() {
        long before = clock - settings.linger().toNanos();
        known.values()
                .removeIf(s -> s.state == RequestState.COMPLETED && s.heldBytes() == 0 && s.completedNanos < before);
    }

    private void crashIfOutOfMemory() {
        if (sumKv() > settings.kvTokens()) {
            goDown("out of memory for requests");
        } else if (sumBytes() > settings.heldBytesLimit()) {
            goDown("out of memory for unread answers");
        }
    }

    private void startLoadIfIdle() {
        if (pendingLoad != null && loadEnd == NEVER && batch.isEmpty() && waiting.isEmpty()) {
            loadEnd = clock + settings.modelLoadTime().toNanos();
        }
    }

    private void finishLoad() {
        loadEnd = NEVER;
        loaded = pendingLoad;
        pendingLoad = null;
        cache.clear(clock);
        coldUntil = clock + settings.coldDuration().toNanos();
    }

    private void goDown(String reason) {
        downReason = reason;
        known.clear();
        batch.clear();
        waiting.clear();
        pendingLoad = null;
        stepEnd = NEVER;
        loadEnd = NEVER;
        listener.down(reason);
    }

    private void takeReport(long now) {
        long interval = settings.loadInterval().toNanos();
        long skipped = Math.max(0, now - clock - settings.loadLag().toNanos()) / interval;
        // While nothing happens all reports are equal, so that only the newest ones have to be taken.
        nextReport = clock + interval * (stepEnd == NEVER && loadEnd == NEVER ? Math.max(1, skipped) : 1);
        Map<Integer, Long> pending = new TreeMap<>();
        for (Sequence s : known.values()) {
            if (s.pendingPrefill() > 0) {
                pending.merge(s.request.priority(), s.pendingPrefill(), Long::sum);
            }
        }
        reports.addLast(new LoadReport(
                clock,
                batch.size(),
                waiting.size(),
                pending,
                sumKv(),
                settings.kvTokens(),
                sumBytes(),
                isColdNow(),
                loaded,
                role));
        while (reports.size() > 1
                && secondReport().takenNanos() <= clock - settings.loadLag().toNanos()) {
            reports.removeFirst();
        }
    }

    private LoadReport secondReport() {
        var all = reports.iterator();
        all.next();
        return all.next();
    }

    private long sumKv() {
        long sum = 0;
        for (Sequence s : known.values()) {
            sum += s.kvTokens();
        }
        return sum;
    }

    private long sumBytes() {
        long sum = 0;
        for (Sequence s : known.values()) {
            sum += s.heldBytes();
        }
        return sum;
    }

    private Sequence require(RequestId id) throws EngineModelException {
        requireUp();
        Sequence s = known.get(id);
        if (s == null) {
            throw new EngineModelException(Reason.UNKNOWN_REQUEST, "request " + id + " is unknown");
        }
        return s;
    }

    private void requireUp() throws EngineModelException {
        if (!up()) {
            throw new EngineModelException(Reason.DOWN, "the engine is down: " + downReason);
        }
    }
}
