package org.jujuberouter.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against answers that are cut for slow readers, and against memory beyond the instance's bound. */
class SlowReadersExperimentTest {
    @Test
    void completesAllStreamsWithinTheInstanceMemoryLimit() {
        SlowReadersExperiment.SlowReadersResult row =
                SlowReadersExperiment.create().run(2).getLast();
        assertEquals(row.streams(), row.completed());
        assertTrue(row.peakBytes() <= 64L << 20, "held " + row.peakBytes());
    }
}
