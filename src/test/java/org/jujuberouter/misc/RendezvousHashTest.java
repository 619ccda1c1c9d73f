package org.jujuberouter.misc;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against ownership moving more than it must when a member leaves. */
class RendezvousHashTest {
    @Test
    void movesOnlyTheKeysOfTheMemberThatLeft() {
        List<String> all = List.of("a", "b", "c", "d", "e");
        List<String> rest = new ArrayList<>(all);
        rest.remove("c");
        for (int i = 0; i < 1000; i++) {
            String first = RendezvousHash.select("key" + i, all).orElseThrow();
            if (!first.equals("c")) {
                assertEquals(first, RendezvousHash.select("key" + i, rest).orElseThrow());
            }
        }
    }

    @Test
    void spreadsKeysEvenly() {
        List<String> all = List.of("a", "b", "c", "d", "e");
        long won = java.util.stream.IntStream.range(0, 10_000)
                .filter(i -> RendezvousHash.select("key" + i, all).orElseThrow().equals("c"))
                .count();
        assertEquals(2000, won, 200);
    }

    @Test
    void ordersTheWinnerFirst() {
        List<String> all = List.of("a", "b", "c");
        assertEquals(
                RendezvousHash.select("k", all).orElseThrow(),
                RendezvousHash.rank("k", all).getFirst());
    }
}
