package org.jujuberouter.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.function.LongToDoubleFunction;
import org.junit.jupiter.api.Test;

/** Guards against bursts that are taken for lasting loads, or that count for more or less than the time they fill. */
class LoadProfileTest {
    private static final double ASSUMED = 0.18;
    private static final long KEPT_MS = 300_000;

    private static LoadProfile played(int seconds, LongToDoubleFunction load) {
        LoadProfile profile = LoadProfile.of(ASSUMED, 30_000);
        for (long s = 1; s <= seconds; s++) {
            profile.add(load.applyAsDouble(s), s * 1_000, KEPT_MS);
        }
        return profile;
    }

    private static double share(LoadProfile profile) {
        return Arrays.stream(profile.burstShares()).sum();
    }

    @Test
    void recurringBurstsCountInProportionToTheTimeThatTheyFill() {
        assertEquals(0.25, share(played(1_200, s -> s % 20 < 5 ? 40 : 20)), 0.02);
        assertEquals(0.40, share(played(1_200, s -> s % 20 < 8 ? 40 : 20)), 0.02);
        assertEquals(ASSUMED, share(played(1_200, _ -> 20)), 0.001, "bursts are assumed even if there are none");
    }

    @Test
    void aRiseThatLastsIsNoBurst() {
        LoadProfile profile = played(200, s -> s < 100 ? 20 : 40);
        assertEquals(ASSUMED, share(profile), 0.001);
        assertEquals(40, profile.usual(200_000));
        assertEquals(40, profile.lasting(96_000, 200_000));
    }

    @Test
    void aBurstDoesNotLast() {
        LoadProfile profile = played(100, s -> s > 90 ? 60 : 20);
        assertEquals(20, profile.usual(100_000));
        assertTrue(profile.lasting(12_000, 100_000) <= 25, "10 s of 12 s");
        assertEquals(0, profile.lasting(192_000, 100_000), "not known for so long");
    }
}
