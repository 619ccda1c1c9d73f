package org.jujuberouter.ownership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.InstanceId;
import org.jujuberouter.store.StoreEntry;
import org.junit.jupiter.api.Test;

/** Tests that the shares of the owners of an endpoint never add up to more than its bound. */
class OwnerRecordTest {
    @Test
    void leavesALapsedOwnerThreeQuartersRoundedDown() {
        OwnerRecord first = OwnerRecord.first(owner(1));
        OwnerRecord second = first.claimedBy(owner(2), false);
        assertEquals(6, second.predecessors().getFirst().retainedShare(8));
        assertEquals(2, Predecessor.share(8, second.predecessors()));
        assertEquals(0, second.predecessors().getFirst().retainedShare(1));
        assertEquals(1, Predecessor.share(1, second.predecessors()));
        OwnerRecord third = second.claimedBy(owner(3), false);
        assertEquals(1, third.predecessors().get(1).retainedShare(8));
        assertEquals(1, Predecessor.share(8, third.predecessors()));
    }

    @Test
    void sharesSumToAtMostTheBoundWithClearedPredecessorsAndOutdatedBounds() {
        for (long seed = 0; seed < 2_000; seed++) {
            Random random = new Random(seed);
            OwnerRecord current = OwnerRecord.first(owner(1));
            for (int change = 2; change < 8; change++) {
                current = random.nextInt(3) > 0 || current.predecessors().isEmpty()
                        ? current.claimedBy(owner(change), random.nextInt(4) == 0)
                        : current.withoutPredecessors(List.of(current.predecessors()
                                .get(random.nextInt(current.predecessors().size()))));
                long bound = 1 + random.nextInt(70);
                long sum = Predecessor.share(bound, current.predecessors());
                for (Predecessor predecessor : current.predecessors()) {
                    sum += predecessor.retainedShare(1 + random.nextInt((int) bound));
                }
                assertTrue(sum <= bound, "seed " + seed + ": " + sum + " of " + bound + " by " + current);
            }
        }
    }

    @Test
    void decodesWhatItEncoded() throws Exception {
        OwnerRecord nested =
                OwnerRecord.first(owner(1)).claimedBy(owner(2), false).claimedBy(owner(3), false);
        for (OwnerRecord each : List.of(nested, nested.released())) {
            assertEquals(each, OwnerCodec.decode(StoreEntry.of("owner/e", 1, OwnerCodec.encode(each))));
        }
    }

    private static Incarnation owner(int number) {
        return Incarnation.of(InstanceId.of("instance-" + number), number);
    }
}
