package org.jujuberouter.misc;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against needless reassignment of keys when a member leaves, and against an uneven distribution of keys. */
class RendezvousHashTest {
    @Test
    void reassignsOnlyTheKeysOfARemovedCandidate() {
        List<String> all = List.of("a", "b", "c", "d", "e");
        List<String> remaining = new ArrayList<>(all);
        remaining.remove("c");
        for (int i = 0; i < 1000; i++) {
            String selected = RendezvousHash.select("key" + i, all).orElseThrow();
            if (!selected.equals("c")) {
                assertEquals(
                        selected, RendezvousHash.select("key" + i, remaining).orElseThrow());
            }
        }
    }

    @Test
    void distributesKeysEvenly() {
        List<String> all = List.of("a", "b", "c", "d", "e");
        long selectedCount = java.util.stream.IntStream.range(0, 10_000)
                .filter(i -> RendezvousHash.select("key" + i, all).orElseThrow().equals("c"))
                .count();
        assertEquals(2000, selectedCount, 200);
    }

    @Test
    void ranksTheSelectedCandidateFirst() {
        List<String> all = List.of("a", "b", "c");
        assertEquals(
                RendezvousHash.select("k", all).orElseThrow(),
                RendezvousHash.rank("k", all).getFirst());
    }
}
