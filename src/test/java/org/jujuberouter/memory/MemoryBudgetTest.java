package org.jujuberouter.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/** Guards against bytes above a bound, bytes that are never returned, and streams that others can stop. */
class MemoryBudgetTest {
    private static final int SEEDS = Integer.getInteger("jujuberouter.seeds", 200);
    private static final int READS = 100;
    private static final int FLOOR = MemoryLimits.GUARANTEED_BYTES;
    private static final MemoryLimits SMALL = new MemoryLimits(8L * FLOOR, 48L * FLOOR, 96L * FLOOR);
    private final ManualTicker ticker = ManualTicker.atZero();

    @Test
    void keepsEveryBoundAndEndsAtZeroWhateverHappens() {
        long[] seen = new long[3];
        for (int seed = 0; seed < SEEDS; seed++) {
            traffic(new Random(seed), seen);
        }
        System.out.printf(
                "memory: %d seeds, at most %d of %d bytes reserved, %d detached, all ledgers at zero;"
                        + " a reader beside stuck customers needed at most %d steps for %d reads%n",
                SEEDS, seen[0], SMALL.instanceBytes(), seen[1], seen[2], READS);
        assertTrue(seen[1] > 0, "no stream was ever detached");
    }

    @Test
    void letsEveryNewStreamTakeOneReadWhenStuckCustomersHoldAllTheyCan() {
        MemoryBudget ledger = MemoryBudget.of(MemoryLimits.standard(), ticker);
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
        assertTrue(ledger.reservedBytes() <= MemoryLimits.standard().instanceBytes());
    }

    @Test
    void wakesCustomersInTurnAndTheLongestWaitingFirst() {
        MemoryBudget ledger = MemoryBudget.of(new MemoryLimits(96L * FLOOR, 400L * FLOOR, 96L * FLOOR), ticker);
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
        MemoryBudget ledger = MemoryBudget.of(SMALL, ticker);
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

    private static StreamAccount open(MemoryBudget ledger, String customer) {
        return ledger.open(CustomerId.of(customer), () -> {}).orElseThrow();
    }

    private static void fill(StreamAccount stream) {
        while (stream.reserve(FLOOR) instanceof MemoryDecision.Accept) {}
    }

    /** Streams of four customers, two of them stuck, in steps of 50 ms; some stuck ones are closed at any moment. */
    private static void traffic(Random random, long[] seen) {
        ManualTicker ticker = ManualTicker.atZero();
        MemoryBudget ledger = MemoryBudget.of(SMALL, ticker);
        List<StreamAccount> accounts =
                IntStream.range(0, 24).mapToObj(i -> open(ledger, "c" + i % 4)).toList();
        boolean[] waits = new boolean[24];
        int[] reads = new int[24];
        for (int step = 0; IntStream.range(0, 24).anyMatch(i -> i % 4 >= 2 && reads[i] < READS); step++) {
            ticker.advance(Duration.ofMillis(50));
            assertTrue(step < 20_000, "streams that are read do not finish beside stuck ones");
            for (int i = 0; i < 24; i++) {
                StreamAccount account = accounts.get(i);
                boolean stuck = i % 4 < 2;
                if (reads[i] < READS) {
                    MemoryDecision decision = waits[i] ? account.check() : account.reserve(1 + random.nextInt(FLOOR));
                    waits[i] = !(decision instanceof MemoryDecision.Accept);
                    reads[i] += waits[i] ? 0 : 1;
                    seen[1] += decision instanceof MemoryDecision.Detach ? 1 : 0;
                    seen[2] = reads[i] == READS && !stuck ? Math.max(seen[2], step) : seen[2];
                }
                assertTrue(account.held() <= SMALL.streamBytes(), "a stream above its bound");
                if (account.held() > 0 && random.nextInt(stuck ? 500 : 2) == 0) {
                    account.release(1 + random.nextLong(account.held()));
                }
                if (stuck && random.nextInt(3000) == 0) {
                    account.close();
                    reads[i] = READS;
                }
            }
            seen[0] = Math.max(seen[0], ledger.reservedBytes());
            assertTrue(ledger.reservedBytes() <= SMALL.instanceBytes(), "reserved above the bound");
            assertTrue(ledger.heldBytes() <= ledger.reservedBytes(), "held more than reserved");
            long byCustomer = ledger.heldByCustomer().values().stream()
                    .mapToLong(Long::longValue)
                    .sum();
            assertEquals(ledger.heldBytes(), byCustomer);
        }
        accounts.forEach(StreamAccount::close);
        assertEquals(0, ledger.heldBytes() + ledger.reservedBytes() + ledger.openStreams());
    }
}
