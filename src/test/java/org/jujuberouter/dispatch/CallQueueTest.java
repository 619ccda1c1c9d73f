package org.jujuberouter.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/** Guards against a queue order in which a short overload makes every call late. */
class CallQueueTest {
    private static final ServiceName SERVICE = ServiceName.of("assistant");

    private final ManualTicker ticker = ManualTicker.atZero();
    private final CallQueue<String> queue = CallQueue.empty(ticker);
    private final List<String> placed = new ArrayList<>();

    private void enqueue(String call, long tokens, long objectiveMs) {
        CallRequirements requirements =
                new CallRequirements(RequestId.of(call), SERVICE, tokens, 100, objectiveMs, 250, 2_000);
        queue.add(call, requirements, ticker.nanos());
    }

    private void dispatch(int slots) {
        queue.dispatch(call -> placed.size() < slots && placed.add(call));
    }

    /** A slot is freed while the earliest arrivals are already late and a later one can still be on time. */
    @Test
    void placesACallThatCanBeOnTimeBeforeLateOnes() {
        enqueue("late", 5_000, 300);
        ticker.advance(Duration.ofMillis(280));
        enqueue("fresh", 5_000, 300);
        dispatch(1);
        assertEquals(List.of("fresh"), placed);
        assertEquals(1, queue.size());
    }

    @Test
    void placesCallsThatCanBeOnTimeByDueTime() {
        enqueue("long", 100_000, 2_500);
        ticker.advance(Duration.ofMillis(50));
        enqueue("first", 5_000, 300);
        ticker.advance(Duration.ofMillis(50));
        enqueue("second", 5_000, 300);
        dispatch(3);
        assertEquals(List.of("first", "second", "long"), placed);
        assertEquals(0, queue.size());
    }

    /** Hundreds of short prompts are queued with a long one, which is placed on different engines. */
    @Test
    void triesALongPromptBehindManyShortOnesWithABoundedNumberOfAttempts() {
        for (int i = 0; i < 200; i++) {
            enqueue("s" + i, 5_000, 300);
        }
        enqueue("long", 100_000, 2_500);
        List<String> tried = new ArrayList<>();
        queue.dispatch(call -> {
            tried.add(call);
            return call.equals("long");
        });
        assertTrue(tried.contains("long"));
        assertTrue(tried.size() < 30, "calls tried in one dispatch: " + tried.size());
        assertEquals(200, queue.size());
    }

    @Test
    void keepsACallThatIsQueuedAgainWhileItIsPlaced() {
        enqueue("a", 5_000, 300);
        queue.dispatch(call -> {
            enqueue("a", 5_000, 300);
            return true;
        });
        assertEquals(1, queue.size());
    }
}
