package org.jujuberouter.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against truncated responses to slow readers, and against buffers beyond the memory limit of the instance. */
class SlowReadersExperimentTest {
    @Test
    void completesAllStreamsWithinTheInstanceMemoryLimit() {
        SlowReadersExperiment.SlowReadersResult row =
                SlowReadersExperiment.create().run(2).getLast();
        assertEquals(row.streams(), row.completed());
        assertTrue(row.peakBytes() <= 64L << 20, "peak bytes " + row.peakBytes());
    }
}
