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

/** Guards against an order of waiting in which a short overload makes every call late. */
class CallQueueTest {
    private static final ServiceName SERVICE = ServiceName.of("assistant");

    private final ManualTicker ticker = ManualTicker.atZero();
    private final CallQueue<String> line = CallQueue.empty(ticker);
    private final List<String> placed = new ArrayList<>();

    private void arrive(String call, long tokens, long objectiveMs) {
        CallRequirements demand =
                new CallRequirements(RequestId.of(call), SERVICE, tokens, 100, objectiveMs, 250, 2_000);
        line.add(call, demand, ticker.nanos());
    }

    private void look(int places) {
        line.dispatch(call -> placed.size() < places && placed.add(call));
    }

    /** Pattern: one place becomes free while early arrivals are late already and a later one can be on time. */
    @Test
    void servesACallThatCanBeOnTimeBeforeOnesThatAreLate() {
        arrive("late", 5_000, 300);
        ticker.advance(Duration.ofMillis(280));
        arrive("fresh", 5_000, 300);
        look(1);
        assertEquals(List.of("fresh"), placed);
        assertEquals(1, line.size());
    }

    @Test
    void servesTheEarliestDueFirstAmongCallsThatCanBeOnTime() {
        arrive("long", 100_000, 2_500);
        ticker.advance(Duration.ofMillis(50));
        arrive("first", 5_000, 300);
        ticker.advance(Duration.ofMillis(50));
        arrive("second", 5_000, 300);
        look(3);
        assertEquals(List.of("first", "second", "long"), placed);
        assertEquals(0, line.size());
    }

    /** Pattern: hundreds of short prompts wait beside a long one that needs another kind of place. */
    @Test
    void looksForAPlaceForALongPromptBehindManyShortOnesAndBoundsTheEffort() {
        for (int i = 0; i < 200; i++) {
            arrive("s" + i, 5_000, 300);
        }
        arrive("long", 100_000, 2_500);
        List<String> asked = new ArrayList<>();
        line.dispatch(call -> {
            asked.add(call);
            return call.equals("long");
        });
        assertTrue(asked.contains("long"));
        assertTrue(asked.size() < 30, "calls asked for in one look: " + asked.size());
        assertEquals(200, line.size());
    }

    @Test
    void keepsACallThatComesBackWhileItIsPlaced() {
        arrive("a", 5_000, 300);
        line.dispatch(call -> {
            arrive("a", 5_000, 300);
            return true;
        });
        assertEquals(1, line.size());
    }
}
