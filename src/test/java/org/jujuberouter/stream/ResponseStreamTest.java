package org.jujuberouter.stream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/** Guards against truncated, mixed or repeated responses, and against abandoning an engine during its prefill. */
class ResponseStreamTest {
    private static final int SEEDS = Integer.getInteger("jujuberouter.seeds", 200);
    private static final RequestId ID = RequestId.of("a1");
    private final ManualTicker ticker = ManualTicker.atZero();
    private final ResponseStream stream = ResponseStream.open(ID, ticker);

    @Test
    void deliversEveryResponseExactlyDespiteFaults() {
        int corrupt = 0;
        int resumes = 0;
        int continuations = 0;
        long longestDetection = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Simulation simulation = new Simulation(seed);
            assertEquals(simulation.response, simulation.delivered.toString(), "seed " + seed);
            corrupt += simulation.receivedUnchecked.toString().equals(simulation.response) ? 0 : 1;
            resumes += simulation.resumes;
            continuations += simulation.continuations;
            longestDetection = Math.max(longestDetection, simulation.longestStallMillis);
        }
        System.out.printf(
                "streams: %d seeds, all responses exact, %d resumes, %d continuations, longest detection %d ms;"
                        + " %d responses corrupt without checks%n",
                SEEDS, resumes, continuations, longestDetection, corrupt);
        assertTrue(resumes > 0 && continuations > 0 && corrupt > SEEDS / 2, "the schedule does not reach all cases");
        // 2 s until the next probe in a prefill, 1 s for one lost probe, and three steps of the test.
        assertTrue(
                longestDetection <= 3030, "a stalled connection was detected only after " + longestDetection + " ms");
    }

    @Test
    void waitsForASlowPrefillAndProbesLessOften() {
        int probes = 0;
        for (int second = 0; second < 60; second++) {
            ticker.advance(Duration.ofSeconds(1));
            if (stream.tick() instanceof StreamDecision.Probe probe) {
                probes++;
                assertInstanceOf(
                        StreamDecision.WaitPrefill.class, stream.probeReply(probe.number(), new ProbeReply.Prefill()));
            }
        }
        assertEquals(31, probes, "after 1 and 2 s and then every 2 s up to 60 s");
    }

    @Test
    void doesNotProbeWhileTheCallerIsSlow() {
        stream.chunk(ID, 0, 5);
        stream.pause();
        ticker.advance(Duration.ofMinutes(5));
        assertInstanceOf(StreamDecision.Idle.class, stream.tick());
        stream.unpause();
        assertInstanceOf(StreamDecision.Idle.class, stream.tick());
        ticker.advance(Duration.ofSeconds(1));
        assertInstanceOf(StreamDecision.Probe.class, stream.tick());
    }

    @Test
    void abandonsTheEndpointAfterTwoUnansweredProbesAndDropsLateChunks() {
        stream.chunk(ID, 0, 5);
        ticker.advance(Duration.ofSeconds(1));
        long first = assertInstanceOf(StreamDecision.Probe.class, stream.tick()).number();
        assertInstanceOf(StreamDecision.Probe.class, stream.probeReply(first, new ProbeReply.NoReply()));
        assertInstanceOf(StreamDecision.Idle.class, stream.probeReply(first, new ProbeReply.NoReply()));
        ticker.advance(Duration.ofSeconds(1));
        assertEquals(new StreamDecision.ContinueElsewhere(5), stream.tick());
        assertEquals(new StreamDecision.Drop(DropReason.OTHER_REQUEST), stream.chunk(ID, 5, 4));
        assertEquals(5, stream.textOffset());
    }

    @Test
    void abandonsAnEngineThatAnswersProbesButDeliversNothing() {
        StreamDecision decision = new StreamDecision.ResumeFrom(0);
        int resumes = -1;
        while (decision instanceof StreamDecision.ResumeFrom) {
            resumes++;
            ticker.advance(Duration.ofSeconds(1));
            long probe =
                    assertInstanceOf(StreamDecision.Probe.class, stream.tick()).number();
            decision = stream.probeReply(probe, new ProbeReply.Generating(9));
        }
        assertInstanceOf(StreamDecision.ContinueElsewhere.class, decision);
        assertEquals(StallDetector.MAX_FRUITLESS_RESUMES, resumes);
    }

    /** A chunk or an end marker in flight. */
    private record InFlightChunk(long arrivalMillis, RequestId id, long offset, String text, boolean end) {}

    /** Simulates one response over an unreliable connection in steps of 10 ms; faults end after 30 s. */
    private static final class Simulation {
        private final ManualTicker ticker = ManualTicker.atZero();
        private final Random random;
        private final String response;
        private final StringBuilder delivered = new StringBuilder();
        private final StringBuilder receivedUnchecked = new StringBuilder();
        private final List<InFlightChunk> inFlight = new ArrayList<>();
        private ResponseStream stream;
        private RequestId attempt = RequestId.of("a0");
        private String generated;
        private long generationStart;
        private long sent;
        private boolean connectionStalled;
        private boolean engineDead;
        private long pausedUntil;
        private boolean done;
        private int resumes;
        private int continuations;
        private long lastProgress;
        private long longestStallMillis;

        Simulation(int seed) {
            random = new Random(seed);
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < 200 + random.nextInt(800); i++) {
                text.append((char) ('a' + random.nextInt(26)));
            }
            response = text.toString();
            stream = ResponseStream.open(attempt, ticker);
            start();
            run();
        }

        private void start() {
            generated = response.substring(delivered.length());
            generationStart = ticker.millis() + random.nextInt(6000);
            engineDead = false;
            connect(0);
        }

        private void connect(long offset) {
            sent = offset;
            connectionStalled = false;
        }

        private void run() {
            while (!done) {
                assertTrue(ticker.millis() < 120_000, "the response was not complete after two minutes");
                ticker.advance(Duration.ofMillis(10));
                if (!engineDead && !connectionStalled) {
                    send();
                }
                if (faultsActive() && random.nextInt(400) == 0) {
                    pausedUntil = ticker.millis() + random.nextInt(6000);
                    stream.pause();
                }
                boolean paused = ticker.millis() < pausedUntil;
                StreamDecision tick = stream.tick();
                assertFalse(paused && !(tick instanceof StreamDecision.Idle), "probed while the caller was slow");
                if (!paused) {
                    stream.unpause();
                    receive();
                }
                execute(tick);
            }
        }

        private void send() {
            long now = ticker.millis();
            long available = Math.max(0, Math.min(generated.length(), (now - generationStart) / 10));
            if (available - sent >= 4 || available == generated.length() && now > generationStart) {
                int length = (int) Math.min(available - sent, 1 + random.nextInt(8));
                transmit(attempt, sent, length, sent == generated.length());
                sent += length;
            }
            if (!faultsActive()) {
                return;
            }
            switch (random.nextInt(300)) {
                case 0 -> connectionStalled = true;
                case 1 -> execute(stream.connectionLost());
                case 2, 3, 4 -> sent = Math.min(generated.length(), sent + 3);
                case 5, 6, 7 -> sent = Math.max(0, sent - 5);
                case 8 -> engineDead = random.nextInt(4) == 0;
                case 9, 10 -> transmit(RequestId.of("other"), sent, Math.min(3, generated.length()), false);
                default -> {}
            }
        }

        private void transmit(RequestId id, long offset, int length, boolean end) {
            String text = generated
                    .substring((int) Math.min(offset, generated.length() - length))
                    .substring(0, length);
            long at = ticker.millis() + 1 + (faultsActive() && random.nextInt(20) == 0 ? random.nextInt(300) : 0);
            inFlight.add(new InFlightChunk(at, id, offset, text, end));
        }

        private void receive() {
            inFlight.sort(Comparator.comparingLong(InFlightChunk::arrivalMillis));
            while (!done && !inFlight.isEmpty() && inFlight.getFirst().arrivalMillis <= ticker.millis()) {
                InFlightChunk chunk = inFlight.removeFirst();
                receivedUnchecked.append(chunk.text);
                StreamDecision decision = chunk.end
                        ? stream.end(chunk.id, chunk.offset)
                        : stream.chunk(chunk.id, chunk.offset, chunk.text.length());
                if (decision instanceof StreamDecision.Deliver deliver) {
                    delivered.append(chunk.text.substring(deliver.skip()));
                }
                if (!(decision instanceof StreamDecision.Drop)) {
                    lastProgress = ticker.millis();
                }
                execute(decision);
            }
        }

        private void execute(StreamDecision decision) {
            switch (decision) {
                case StreamDecision.Probe p -> {
                    if (!engineDead && (!faultsActive() || random.nextInt(10) > 0)) {
                        execute(stream.probeReply(p.number(), state()));
                    }
                }
                case StreamDecision.ResumeFrom r -> {
                    resumes++;
                    if (!engineDead) {
                        long waited = Math.max(Math.max(lastProgress, pausedUntil), generationStart);
                        longestStallMillis = Math.max(longestStallMillis, ticker.millis() - waited);
                    }
                    lastProgress = ticker.millis();
                    connect(r.offset());
                }
                case StreamDecision.ContinueElsewhere c -> {
                    continuations++;
                    assertEquals(delivered.length(), c.textOffset());
                    attempt = RequestId.of("a" + continuations);
                    stream.continueAs(attempt);
                    lastProgress = ticker.millis();
                    start();
                }
                case StreamDecision.Complete c -> done = true;
                default -> {}
            }
        }

        private ProbeReply state() {
            long available = Math.min(generated.length(), (ticker.millis() - generationStart) / 10);
            if (ticker.millis() < generationStart) {
                return new ProbeReply.Prefill();
            }
            return available == generated.length()
                    ? new ProbeReply.Ended(available)
                    : new ProbeReply.Generating(available);
        }

        private boolean faultsActive() {
            return ticker.millis() < 30_000;
        }
    }
}
