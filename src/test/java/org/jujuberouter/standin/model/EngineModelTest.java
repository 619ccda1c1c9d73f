package org.jujuberouter.standin.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/** Guards the scheduling and the faults of the emulated engine, on which tests of other packages rely. */
class EngineModelTest {
    private final ManualTicker ticker = ManualTicker.atZero();

    private EngineModel engine(EngineSettings settings) {
        return EngineModel.warm(settings, ticker, LoadedModel.of("m", "", "1"), new EngineListener() {});
    }

    private static EngineRequest request(String id, int priority, long prompt, int answer) {
        long[] blocks = new long[(int) (prompt / 256)];
        for (int i = 0; i < blocks.length; i++) {
            blocks[i] = i + 1;
        }
        return EngineRequest.of(RequestId.of(id), priority, prompt, blocks, answer);
    }

    private long firstToken(EngineModel engine, String id) {
        return engine.status(RequestId.of(id)).orElseThrow().firstTokenNanos() / 1_000_000;
    }

    @Test
    void schedulesAShortPromptBeforeTheRemainingChunksOfALongOne() throws EngineModelException {
        EngineModel engine = engine(EngineSettings.defaults());
        engine.submit(EngineRequest.of(RequestId.of("long"), 2, 100_000, new long[0], 10));
        ticker.advance(Duration.ofMillis(500));
        engine.submit(EngineRequest.of(RequestId.of("short"), 0, 1000, new long[0], 10));
        engine.submit(EngineRequest.of(RequestId.of("same"), 2, 1000, new long[0], 10));
        ticker.advance(Duration.ofSeconds(20));
        assertTrue(firstToken(engine, "short") < 650, "the short prompt waited for the long prefill");
        assertTrue(firstToken(engine, "long") > 5000, "100,000 tokens need more than 5 s");
        assertTrue(
                firstToken(engine, "same") > firstToken(engine, "long"),
                "requests of equal priority are prefilled in order of arrival");
    }

    @Test
    void givesTheSameResultForAnyIntervalBetweenAdvances() throws EngineModelException {
        List<Long> checksums = new ArrayList<>();
        for (int steps : new int[] {1, 977}) {
            ManualTicker t = ManualTicker.atZero();
            EngineModel e = EngineModel.warm(EngineSettings.defaults(), t, LoadedModel.any(), new EngineListener() {});
            for (int i = 0; i < 20; i++) {
                e.submit(request("r" + i, i % 3, 3000 + i, 50));
            }
            for (int i = 0; i < steps; i++) {
                t.advanceTo((i + 1) * Duration.ofSeconds(30).toNanos() / steps);
                e.advance();
            }
            t.advanceTo(Duration.ofSeconds(30).toNanos());
            checksums.add(e.list().stream()
                    .mapToLong(s -> s.firstTokenNanos() * 31 + s.offset())
                    .sum());
        }
        assertEquals(checksums.get(0), checksums.get(1));
    }

    @Test
    void crashesWhenRequestsExceedTheKvMemory() throws EngineModelException {
        EngineModel engine = engine(EngineSettings.builder().kvTokens(10_000).build());
        engine.submit(request("a", 0, 6000, 2000));
        engine.reserve(RequestId.of("r"), "h", 3000);
        ticker.advance(Duration.ofSeconds(1));
        assertTrue(engine.isUp() && engine.kvTokens() > 9000);
        ticker.advance(Duration.ofSeconds(60));
        engine.advance();
        assertFalse(engine.isUp());
        assertThrows(EngineModelException.class, () -> engine.submit(request("b", 0, 10, 1)));
        engine.restart();
        assertEquals(0, engine.kvTokens());
        assertTrue(engine.isCold());
    }

    @Test
    void crashesWhenUnreadAnswersExceedTheirLimit() throws EngineModelException {
        EngineModel engine = engine(EngineSettings.builder().heldBytesLimit(600).build());
        engine.submit(request("read", 0, 100, 1000));
        for (int i = 0; i < 200; i++) {
            ticker.advance(Duration.ofMillis(100));
            engine.poll(
                    RequestId.of("read"),
                    engine.status(RequestId.of("read")).orElseThrow().offset());
        }
        assertEquals(
                RequestState.COMPLETED,
                engine.status(RequestId.of("read")).orElseThrow().state());
        engine.submit(request("unread", 0, 100, 1000));
        ticker.advance(Duration.ofSeconds(20));
        engine.advance();
        assertFalse(engine.isUp());
    }

    @Test
    void crashesOnOverloadOnlyInColdStart() throws EngineModelException {
        EngineModel engine = engine(EngineSettings.defaults());
        for (int i = 0; i < 10; i++) {
            engine.submit(request("r" + i, 0, 1000, 1000));
        }
        engine.enterColdStart();
        ticker.advance(Duration.ofSeconds(1));
        assertTrue(engine.isUp(), "requests in flight continue slowly");
        assertThrows(EngineModelException.class, () -> engine.submit(request("more", 0, 10, 1)));
        assertEquals("overload in cold start", engine.downReason());
    }

    @Test
    void crashesOnAPoisonousPrompt() throws EngineModelException {
        EngineModel engine = engine(EngineSettings.defaults());
        engine.submit(request("p", 0, 1000, 10).asPoisonous());
        ticker.advance(Duration.ofSeconds(1));
        assertTrue(engine.list().isEmpty());
        assertTrue(engine.downReason().contains("request p"));
    }

    @Test
    void resumesAndContinuesAStreamOnAnotherEngineWithTheSameText() throws EngineModelException {
        EngineModel engine = engine(EngineSettings.defaults());
        EngineRequest request = request("s", 0, 1000, 40);
        engine.submit(request);
        ticker.advance(Duration.ofMillis(500));
        int half = engine.poll(RequestId.of("s"), 0).end();
        assertTrue(half > 0 && half < 40);
        EngineModel importingEngine = engine(EngineSettings.defaults());
        importingEngine.reserve(RequestId.of("r"), "h", 2000);
        KvSnapshot snapshot = engine.exportKv(RequestId.of("s"));
        assertTrue(engine.kvTokens() > 1000, "an export holds its KV memory");
        importingEngine.importKv(RequestId.of("r"), snapshot);
        assertTrue(engine.cancel(RequestId.of("s")) && !engine.cancel(RequestId.of("s")));
        ticker.advance(Duration.ofSeconds(5));
        List<String> allTokens = importingEngine.poll(RequestId.of("s"), 0).tokens();
        assertEquals(
                allTokens.subList(half, 40),
                importingEngine.poll(RequestId.of("s"), half).tokens());
        assertEquals(0, engine.kvTokens() + importingEngine.kvTokens());
    }

    @Test
    void delaysCacheEventsAndLoadReportsAndLosesEvents() throws EngineModelException {
        EngineModel engine = engine(EngineSettings.builder()
                .cache(2560, 256)
                .cacheEvents(Duration.ofMillis(300), 0.5)
                .build());
        engine.submit(request("a", 0, 2560, 1));
        ticker.advance(Duration.ofMillis(200));
        assertTrue(engine.cacheEvents(0).isEmpty());
        assertEquals(0, engine.load().orElseThrow().running());
        engine.submit(request("b", 0, 2560, 1));
        ticker.advance(Duration.ofSeconds(2));
        assertEquals(2559, engine.status(RequestId.of("b")).orElseThrow().cached());
        for (int i = 0; i < 50; i++) {
            long[] blocks = {100 + i};
            engine.submit(EngineRequest.of(RequestId.of("x" + i), 0, 256, blocks, 1));
        }
        ticker.advance(Duration.ofSeconds(5));
        List<CacheEvent> events = engine.cacheEvents(0);
        assertTrue(events.getLast().sequence() > events.size(), "half of the events are lost");
        assertTrue(events.stream().anyMatch(e -> e.kind() == CacheEvent.Kind.EVICTED));
    }

    @Test
    void rejectsStaleFencingNumbersOnlyIfItChecksThem() throws EngineModelException {
        for (boolean checksFencing : new boolean[] {true, false}) {
            EngineModel engine =
                    engine(EngineSettings.builder().checksFencing(checksFencing).build());
            engine.execute(new EngineOrder.ChangeRole(5, EngineRole.PREFILL));
            OrderReply reply = engine.execute(new EngineOrder.LoadModel(4, LoadedModel.of("n", "", "1")));
            assertEquals(checksFencing ? new OrderReply.Stale(5) : new OrderReply.Accepted(), reply);
            ticker.advance(Duration.ofSeconds(31));
            engine.advance();
            assertEquals(!checksFencing, engine.isCold());
        }
    }
}
