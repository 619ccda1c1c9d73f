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

/** Guards against bytes held above a limit, bytes that are never released, and streams that are blocked by others. */
class MemoryBudgetTest {
    private static final int SEEDS = Integer.getInteger("jujuberouter.seeds", 200);
    private static final int READS = 100;
    private static final int GUARANTEED = MemoryLimits.GUARANTEED_BYTES;
    private static final MemoryLimits SMALL = new MemoryLimits(8L * GUARANTEED, 48L * GUARANTEED, 96L * GUARANTEED);
    private final ManualTicker ticker = ManualTicker.atZero();

    @Test
    void keepsEveryLimitAndReleasesAllBytesUnderRandomTraffic() {
        long[] seen = new long[3];
        for (int seed = 0; seed < SEEDS; seed++) {
            simulateTraffic(new Random(seed), seen);
        }
        System.out.printf(
                "memory: %d seeds, at most %d of %d bytes reserved, %d detached, all bytes released;"
                        + " a reader beside stalled customers needed at most %d steps for %d reads%n",
                SEEDS, seen[0], SMALL.instanceBytes(), seen[1], seen[2], READS);
        assertTrue(seen[1] > 0, "no stream was ever detached");
    }

    @Test
    void letsEveryNewStreamReadOnceWhenStalledCustomersHoldAllSharedBytes() {
        MemoryBudget budget = MemoryBudget.of(MemoryLimits.standard(), ticker);
        for (int c = 0; c < 5; c++) {
            for (int s = 0; s < 300; s++) {
                fill(open(budget, "stalled" + c));
            }
        }
        StreamAccount fresh = open(budget, "fresh");
        for (int i = 0; i < 1000; i++) {
            assertInstanceOf(MemoryDecision.Accept.class, i == 0 ? fresh.reserve(GUARANTEED) : fresh.check());
            assertInstanceOf(MemoryDecision.Pause.class, fresh.reserve(GUARANTEED));
            fresh.release(GUARANTEED);
        }
        assertTrue(budget.reservedBytes() <= MemoryLimits.standard().instanceBytes());
    }

    @Test
    void servesCustomersInTurnAndTheLongestWaitingStreamFirst() {
        MemoryBudget budget =
                MemoryBudget.of(new MemoryLimits(96L * GUARANTEED, 400L * GUARANTEED, 96L * GUARANTEED), ticker);
        List<String> woken = new ArrayList<>();
        StreamAccount full = open(budget, "x");
        fill(full);
        // All shared bytes are held, so each further stream gets its guaranteed bytes and then waits.
        for (String name : List.of("a1", "a2", "a3", "b1")) {
            StreamAccount stream = budget.open(CustomerId.of(name.substring(0, 1)), () -> woken.add(name))
                    .orElseThrow();
            stream.reserve(GUARANTEED);
            assertInstanceOf(MemoryDecision.Pause.class, stream.reserve(GUARANTEED));
        }
        full.release(100);
        StreamAccount late = open(budget, "late");
        late.reserve(GUARANTEED);
        assertInstanceOf(MemoryDecision.Pause.class, late.reserve(50), "overtook streams that wait for the same bytes");
        for (int i = 0; i < 5; i++) {
            full.release(GUARANTEED);
        }
        assertEquals(List.of("a1", "b1", "a2", "a3"), woken);
    }

    @Test
    void detachesAfterFiveSecondsAndResumesBelowHalfOfTheHeldBytes() {
        MemoryBudget budget = MemoryBudget.of(SMALL, ticker);
        List<String> woken = new ArrayList<>();
        StreamAccount stream =
                budget.open(CustomerId.of("c"), () -> woken.add("woken")).orElseThrow();
        fill(stream);
        ticker.advance(Duration.ofMillis(4999));
        assertInstanceOf(MemoryDecision.Pause.class, stream.check());
        ticker.advance(Duration.ofMillis(1));
        assertInstanceOf(MemoryDecision.Detach.class, stream.check());
        stream.release(4L * GUARANTEED);
        assertEquals(new MemoryDecision.Pause(Long.MAX_VALUE), stream.check());
        stream.release(1);
        assertEquals(List.of("woken"), woken);
        assertInstanceOf(MemoryDecision.Accept.class, stream.check());
        stream.close();
        stream.close();
        assertInstanceOf(MemoryDecision.Closed.class, stream.check());
        assertEquals(0, budget.reservedBytes() + budget.heldBytes());
    }

    private static StreamAccount open(MemoryBudget budget, String customer) {
        return budget.open(CustomerId.of(customer), () -> {}).orElseThrow();
    }

    private static void fill(StreamAccount stream) {
        while (stream.reserve(GUARANTEED) instanceof MemoryDecision.Accept) {}
    }

    /** Streams of four customers in steps of 50 ms; two customers are stalled, and some of their streams get closed. */
    private static void simulateTraffic(Random random, long[] seen) {
        ManualTicker ticker = ManualTicker.atZero();
        MemoryBudget budget = MemoryBudget.of(SMALL, ticker);
        List<StreamAccount> accounts =
                IntStream.range(0, 24).mapToObj(i -> open(budget, "c" + i % 4)).toList();
        boolean[] waits = new boolean[24];
        int[] reads = new int[24];
        for (int step = 0; IntStream.range(0, 24).anyMatch(i -> i % 4 >= 2 && reads[i] < READS); step++) {
            ticker.advance(Duration.ofMillis(50));
            assertTrue(step < 20_000, "streams that are read do not finish while others are stalled");
            for (int i = 0; i < 24; i++) {
                StreamAccount account = accounts.get(i);
                boolean stalled = i % 4 < 2;
                if (reads[i] < READS) {
                    MemoryDecision decision =
                            waits[i] ? account.check() : account.reserve(1 + random.nextInt(GUARANTEED));
                    waits[i] = !(decision instanceof MemoryDecision.Accept);
                    reads[i] += waits[i] ? 0 : 1;
                    seen[1] += decision instanceof MemoryDecision.Detach ? 1 : 0;
                    seen[2] = reads[i] == READS && !stalled ? Math.max(seen[2], step) : seen[2];
                }
                assertTrue(account.held() <= SMALL.streamBytes(), "a stream above its limit");
                if (account.held() > 0 && random.nextInt(stalled ? 500 : 2) == 0) {
                    account.release(1 + random.nextLong(account.held()));
                }
                if (stalled && random.nextInt(3000) == 0) {
                    account.close();
                    reads[i] = READS;
                }
            }
            seen[0] = Math.max(seen[0], budget.reservedBytes());
            assertTrue(budget.reservedBytes() <= SMALL.instanceBytes(), "reserved above the instance limit");
            assertTrue(budget.heldBytes() <= budget.reservedBytes(), "held more than reserved");
            long byCustomer = budget.heldByCustomer().values().stream()
                    .mapToLong(Long::longValue)
                    .sum();
            assertEquals(budget.heldBytes(), byCustomer);
        }
        accounts.forEach(StreamAccount::close);
        assertEquals(0, budget.heldBytes() + budget.reservedBytes() + budget.openStreams());
    }
}
