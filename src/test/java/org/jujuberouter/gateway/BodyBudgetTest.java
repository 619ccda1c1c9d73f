package org.jujuberouter.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against bodies that fill the heap, and against a budget that shrinks with each call. */
class BodyBudgetTest {
    private static final int KB = 1024;
    private static final int SEEDS = 200;

    private static ByteBuf bytes(int count) {
        return Unpooled.wrappedBuffer(new byte[count]);
    }

    @Test
    void acceptsSmallBodiesWhileLargeOnesFillTheRest() {
        BodyBudget budget = BodyBudget.of(8_000 * KB);
        BodyBudget.Account large = budget.open();
        assertTrue(large.resize(7_000 * KB));
        assertFalse(budget.open().resize(65 * KB));
        for (int i = 0; i < 15; i++) {
            assertTrue(budget.open().resize(64 * KB));
        }
        assertFalse(budget.open().resize(64 * KB), "the reserved part is used up");
        large.close();
        assertTrue(budget.open().resize(64 * KB), "small bodies may use the rest as well");
    }

    /** A body of unknown length is small until it has grown. */
    @Test
    void countsAGrowingBodyAsLargeFromTheSizeOfALargeOne() {
        BodyBudget budget = BodyBudget.of(800 * KB);
        RequestBody large = RequestBody.in(budget);
        assertTrue(large.reserve(700 * KB));
        RequestBody growing = RequestBody.in(budget);
        assertTrue(growing.append(bytes(60 * KB)));
        assertFalse(growing.append(bytes(10 * KB)));
        growing.release();
        large.release();
        assertEquals(0, budget.heldBytes());
    }

    /** A caller that sends a byte at a time would otherwise hold a receive buffer for each. */
    @Test
    void holdsNoMoreMemoryThanItHasReserved() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            BodyBudget budget = BodyBudget.of(8_000 * KB);
            RequestBody body = RequestBody.in(budget);
            int length = random.nextInt(300 * KB);
            boolean known = random.nextBoolean();
            assertTrue(!known || body.reserve(length));
            byte[] content = new byte[length];
            random.nextBytes(content);
            for (int sent = 0; sent < length; ) {
                int piece = Math.min(length - sent, 1 + random.nextInt(random.nextBoolean() ? 16 * KB : 50));
                assertTrue(body.append(Unpooled.wrappedBuffer(content, sent, piece)));
                sent += piece;
                assertTrue(body.capacity() <= budget.heldBytes(), "seed " + seed);
            }
            assertTrue(budget.heldBytes() <= (known ? length : length + 64 * KB), "seed " + seed);
            assertEquals(Unpooled.wrappedBuffer(content), body, "seed " + seed);
            ByteBuf sending = body.retainedDuplicate();
            body.release();
            assertEquals(known ? length : body.capacity(), budget.heldBytes(), "still being sent");
            sending.release();
            assertEquals(0, budget.heldBytes(), "seed " + seed);
        }
    }

    @Test
    void staysWithinItsLimitAndReturnsAllBytes() {
        for (int seed = 0; seed < SEEDS; seed++) {
            Random random = new Random(seed);
            BodyBudget budget = BodyBudget.of(2_000 * KB);
            List<BodyBudget.Account> accounts = new ArrayList<>();
            for (int step = 0; step < 500; step++) {
                if (accounts.isEmpty() || random.nextInt(3) == 0) {
                    accounts.add(budget.open());
                }
                BodyBudget.Account account = accounts.get(random.nextInt(accounts.size()));
                long before = budget.heldBytes();
                if (!account.resize(random.nextInt(random.nextBoolean() ? 8 * KB : 1_000 * KB))) {
                    assertEquals(before, budget.heldBytes(), "seed " + seed);
                }
                assertTrue(budget.heldBytes() <= budget.limitBytes(), "seed " + seed);
                assertEquals(
                        accounts.stream().mapToLong(BodyBudget.Account::bytes).sum(), budget.heldBytes());
            }
            accounts.forEach(BodyBudget.Account::close);
            assertEquals(0, budget.heldBytes(), "seed " + seed);
        }
    }
}
