package org.jujuberouter.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/** Guards against bytes above a bound, bytes that are never returned, and streams that others can stop. */
class MemoryLedgerTest {
    private static final int SEEDS = Integer.getInteger("jujuberouter.seeds", 200);
    private static final int FLOOR = MemoryBounds.FLOOR_BYTES;
    private static final MemoryBounds SMALL = new MemoryBounds(8L * FLOOR, 48L * FLOOR, 96L * FLOOR);
    private final ManualTicker ticker = ManualTicker.atZero();

    @Test
    void keepsEveryBoundAndEndsAtZeroWhateverHappens() {
        int detached = 0;
        long most = 0;
        long slowest = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            Traffic traffic = new Traffic(seed);
            traffic.run();
            detached += traffic.detached;
            most = Math.max(most, traffic.mostReserved);
            slowest = Math.max(slowest, traffic.slowestFast);
        }
        System.out.printf(
                "memory: %d seeds, at most %d of %d bytes reserved, %d detached, all ledgers at zero;"
                        + " a reader beside stuck customers needed at most %d steps for 100 reads%n",
                SEEDS, most, SMALL.instanceBytes(), detached, slowest);
        assertTrue(detached > 0, "no stream was ever detached");
    }

    @Test
    void letsEveryNewStreamTakeOneReadWhenStuckCustomersHoldAllTheyCan() {
        MemoryLedger ledger = MemoryLedger.of(MemoryBounds.standard(), ticker);
        for (int c = 0; c < 5; c++) {
            for (int s = 0; s < 300; s++) {
                fill(open(ledger, "stuck" + c));
            }
        }
        StreamAccount fresh = open(ledger, "fresh");
        for (int i = 0; i < 1000; i++) {
            assertInstanceOf(MemoryDecision.Accept.class, i == 0 ? fresh.reserve(FLOOR) : fresh.check());
            assertInstanceOf(MemoryDecision.Pause.class, fresh.reserve(FLOOR));
            fresh.release(FLOOR);
        }
        assertTrue(ledger.reservedBytes() <= MemoryBounds.standard().instanceBytes());
    }

    @Test
    void wakesCustomersInTurnAndTheLongestWaitingFirst() {
        MemoryLedger ledger = MemoryLedger.of(new MemoryBounds(96L * FLOOR, 400L * FLOOR, 96L * FLOOR), ticker);
        List<String> woken = new ArrayList<>();
        StreamAccount full = open(ledger, "x");
        fill(full);
        // All that is shared is held, so each further stream gets its floor and waits.
        for (String name : List.of("a1", "a2", "a3", "b1")) {
            StreamAccount stream = ledger.open(CustomerId.of(name.substring(0, 1)), () -> woken.add(name))
                    .orElseThrow();
            stream.reserve(FLOOR);
            assertInstanceOf(MemoryDecision.Pause.class, stream.reserve(FLOOR));
        }
        full.release(100);
        StreamAccount late = open(ledger, "late");
        late.reserve(FLOOR);
        assertInstanceOf(MemoryDecision.Pause.class, late.reserve(50), "passed streams that wait for the same room");
        for (int i = 0; i < 5; i++) {
            full.release(FLOOR);
        }
        assertEquals(List.of("a1", "b1", "a2", "a3"), woken);
    }

    @Test
    void detachesAfterFiveSecondsAndResumesBelowHalf() {
        MemoryLedger ledger = MemoryLedger.of(SMALL, ticker);
        List<String> woken = new ArrayList<>();
        StreamAccount stream =
                ledger.open(CustomerId.of("c"), () -> woken.add("woken")).orElseThrow();
        fill(stream);
        ticker.advance(Duration.ofMillis(4999));
        assertInstanceOf(MemoryDecision.Pause.class, stream.check());
        ticker.advance(Duration.ofMillis(1));
        assertInstanceOf(MemoryDecision.Detach.class, stream.check());
        stream.release(4L * FLOOR);
        assertEquals(new MemoryDecision.Pause(Long.MAX_VALUE), stream.check());
        stream.release(1);
        assertEquals(List.of("woken"), woken);
        assertInstanceOf(MemoryDecision.Accept.class, stream.check());
        stream.close();
        stream.close();
        assertInstanceOf(MemoryDecision.Closed.class, stream.check());
        assertEquals(0, ledger.reservedBytes() + ledger.heldBytes());
    }

    private static StreamAccount open(MemoryLedger ledger, String customer) {
        return ledger.open(CustomerId.of(customer), () -> {}).orElseThrow();
    }

    private static void fill(StreamAccount stream) {
        while (stream.reserve(FLOOR) instanceof MemoryDecision.Accept) {}
    }

    /** Streams of four customers, two of them stuck; each step one thread of one stream does something. */
    private static final class Traffic {
        private static final int READS = 100;
        private final ManualTicker ticker = ManualTicker.atZero();
        private final MemoryLedger ledger = MemoryLedger.of(SMALL, ticker);
        private final Random random;
        private final List<Reader> readers = new ArrayList<>();
        private int detached;
        private long mostReserved;
        private long slowestFast;

        Traffic(int seed) {
            random = new Random(seed);
            for (int i = 0; i < 24; i++) {
                readers.add(new Reader(i));
            }
        }

        void run() {
            for (int step = 0; readers.stream().anyMatch(r -> r.reads < READS && !r.stuck()); step++) {
                ticker.advance(Duration.ofMillis(50));
                assertTrue(step < 20_000, "streams that are read do not finish beside stuck ones");
                for (Reader reader : readers) {
                    reader.step(step);
                }
                mostReserved = Math.max(mostReserved, ledger.reservedBytes());
                assertTrue(ledger.reservedBytes() <= SMALL.instanceBytes(), "reserved above the bound");
                assertTrue(ledger.heldBytes() <= ledger.reservedBytes(), "held more than reserved");
            }
            readers.forEach(r -> r.account.close());
            assertEquals(0, ledger.heldBytes());
            assertEquals(0, ledger.reservedBytes());
            assertEquals(0, ledger.openStreams());
        }

        private final class Reader {
            private final int number;
            private final StreamAccount account;
            private boolean waits;
            private int read;
            private int reads;

            Reader(int number) {
                this.number = number;
                this.account = open(ledger, "c" + number % 4);
            }

            boolean stuck() {
                return number % 4 < 2;
            }

            void step(int step) {
                if (reads < READS) {
                    read = waits ? read : 1 + random.nextInt(FLOOR);
                    MemoryDecision decision = waits ? account.check() : account.reserve(read);
                    waits = !(decision instanceof MemoryDecision.Accept);
                    reads += waits ? 0 : 1;
                    detached += decision instanceof MemoryDecision.Detach ? 1 : 0;
                    slowestFast = reads == READS && !stuck() ? Math.max(slowestFast, step) : slowestFast;
                }
                assertTrue(account.held() <= SMALL.streamBytes(), "a stream above its bound");
                if (account.held() > 0 && random.nextInt(stuck() ? 500 : 2) == 0) {
                    account.release(1 + random.nextLong(account.held()));
                }
                if (stuck() && random.nextInt(3000) == 0) {
                    account.close();
                    reads = READS;
                }
            }
        }
    }
}
