package org.jujuberouter.peer;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Counts the frames and bytes of all connections of an instance by message type.
 *
 * <p>Bytes include the 4 bytes of length and no TCP or IP headers.
 */
public final class PeerTraffic {
    /** The slot of frames without content. */
    private static final int KEEPALIVE_SLOT = 0;

    private static final int UNKNOWN_SLOT = 17;
    private static final String[] NAMES = {
        "Keepalive",
        "Hello",
        "Heartbeat",
        "PermitRequest",
        "PermitReply",
        "PermitRelease",
        "Handover",
        "CrashNotice",
        "SettingsPull",
        "SettingsPush",
        "PermitStage",
        "HolderReport",
        "ClearNotice",
        "RunRequest",
        "RunReply",
        "RunEnded",
        "HolderQuery",
        "Unknown"
    };

    private final AtomicLongArray framesOut = new AtomicLongArray(NAMES.length);
    private final AtomicLongArray bytesOut = new AtomicLongArray(NAMES.length);
    private final AtomicLongArray framesIn = new AtomicLongArray(NAMES.length);
    private final AtomicLongArray bytesIn = new AtomicLongArray(NAMES.length);

    PeerTraffic() {}

    /**
     * What one message type has cost since the start.
     *
     * @param framesOut frames sent
     * @param bytesOut bytes sent
     * @param framesIn frames received
     * @param bytesIn bytes received
     */
    public record Count(long framesOut, long bytesOut, long framesIn, long bytesIn) {
        /** Returns the sum of both. */
        public Count plus(Count other) {
            return new Count(
                    framesOut + other.framesOut,
                    bytesOut + other.bytesOut,
                    framesIn + other.framesIn,
                    bytesIn + other.bytesIn);
        }

        /** Returns what was added since the earlier count. */
        public Count minus(Count earlier) {
            return new Count(
                    framesOut - earlier.framesOut,
                    bytesOut - earlier.bytesOut,
                    framesIn - earlier.framesIn,
                    bytesIn - earlier.bytesIn);
        }
    }

    void sent(byte[] frame) {
        int slot = slot(frame);
        framesOut.incrementAndGet(slot);
        bytesOut.addAndGet(slot, PeerCodec.LENGTH_BYTES + frame.length);
    }

    void received(byte[] frame) {
        int slot = slot(frame);
        framesIn.incrementAndGet(slot);
        bytesIn.addAndGet(slot, PeerCodec.LENGTH_BYTES + frame.length);
    }

    /** Returns the counts by name of the message; an empty frame is named Keepalive. */
    public Map<String, Count> snapshot() {
        Map<String, Count> counts = new TreeMap<>();
        for (int i = 0; i < NAMES.length; i++) {
            counts.put(NAMES[i], new Count(framesOut.get(i), bytesOut.get(i), framesIn.get(i), bytesIn.get(i)));
        }
        return counts;
    }

    /** A message is an array of at most 15 elements, one byte, whose first element is the type, one byte as well. */
    private static int slot(byte[] frame) {
        if (frame.length < 2) {
            return KEEPALIVE_SLOT;
        }
        int type = frame[1];
        return type >= 0 && type < UNKNOWN_SLOT - 1 ? type + 1 : UNKNOWN_SLOT;
    }
}
