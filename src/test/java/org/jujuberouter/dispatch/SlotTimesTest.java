package org.jujuberouter.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against predictions that differ from those of a list of all slots, which an engine could make too large. */
class SlotTimesTest {
    @Test
    void ordersFreeSlotsBeforeThoseThatAreFreedLater() {
        SlotTimes times = SlotTimes.of(2, List.of(30.0, 10.0));
        assertEquals(4, times.count());
        assertEquals(
                List.of(0.0, 0.0, 10.0, 30.0), List.of(times.atMs(0), times.atMs(1), times.atMs(2), times.atMs(3)));
    }

    @Test
    void countsACallBehindAllSlotsToTheNextRound() {
        SlotTimes times = SlotTimes.of(1, List.of(10.0, 30.0));
        assertEquals(0, times.behindMs(0));
        assertEquals(10, times.behindMs(1));
        assertEquals(30, times.behindMs(3));
        assertEquals(30 + 10, times.behindMs(4));
        assertEquals(0, SlotTimes.of(0, List.of()).behindMs(5));
    }

    @Test
    void derivesTheIntervalFromTheMedian() {
        assertEquals(0, SlotTimes.of(5, List.of(10.0)).intervalMs());
        assertEquals(
                20 / 2.0,
                SlotTimes.of(0, List.of(10.0, 20.0, Double.POSITIVE_INFINITY)).intervalMs());
        assertEquals(0, SlotTimes.of(0, List.of(Double.POSITIVE_INFINITY)).intervalMs());
        assertEquals(0, SlotTimes.of(0, List.of()).intervalMs());
    }

    @Test
    void holdsAnyNumberOfFreeSlots() {
        SlotTimes times = SlotTimes.of(2L * Integer.MAX_VALUE, List.of(10.0));
        assertEquals(0, times.behindMs(1_000));
        assertEquals(10, times.atMs(times.count() - 1));
    }
}
