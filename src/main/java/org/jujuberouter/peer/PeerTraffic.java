package org.jujuberouter.peer;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Counts the frames and bytes of all connections of an instance by message type.
 *
 * <p>Byte counts include the 4-byte length prefix and exclude TCP and IP headers.
 */
public final class PeerTraffic {
    /** The index of frames without content. */
    private static final int KEEPALIVE_INDEX = 0;

    private static final int UNKNOWN_INDEX = 17;
    private static final String[] MESSAGE_NAMES = {
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

    private final AtomicLongArray framesOut = new AtomicLongArray(MESSAGE_NAMES.length);
    private final AtomicLongArray bytesOut = new AtomicLongArray(MESSAGE_NAMES.length);
    private final AtomicLongArray framesIn = new AtomicLongArray(MESSAGE_NAMES.length);
    private final AtomicLongArray bytesIn = new AtomicLongArray(MESSAGE_NAMES.length);

    PeerTraffic() {}

    /**
     * The traffic of one message type since the start.
     *
     * @param framesOut frames sent
     * @param bytesOut bytes sent
     * @param framesIn frames received
     * @param bytesIn bytes received
     */
    public record Count(long framesOut, long bytesOut, long framesIn, long bytesIn) {
        /** Returns the sum of this count and the other. */
        public Count plus(Count other) {
            return new Count(
                    framesOut + other.framesOut,
                    bytesOut + other.bytesOut,
                    framesIn + other.framesIn,
                    bytesIn + other.bytesIn);
        }

        /** Returns the difference to an earlier count. */
        public Count minus(Count earlier) {
            return new Count(
                    framesOut - earlier.framesOut,
                    bytesOut - earlier.bytesOut,
                    framesIn - earlier.framesIn,
                    bytesIn - earlier.bytesIn);
        }
    }

    void recordSent(byte[] frame) {
        int index = index(frame);
        framesOut.incrementAndGet(index);
        bytesOut.addAndGet(index, PeerCodec.LENGTH_BYTES + frame.length);
    }

    void recordReceived(byte[] frame) {
        int index = index(frame);
        framesIn.incrementAndGet(index);
        bytesIn.addAndGet(index, PeerCodec.LENGTH_BYTES + frame.length);
    }

    /** Returns the counts by message name; empty frames are counted as Keepalive. */
    public Map<String, Count> snapshot() {
        Map<String, Count> counts = new TreeMap<>();
        for (int i = 0; i < MESSAGE_NAMES.length; i++) {
            counts.put(MESSAGE_NAMES[i], new Count(framesOut.get(i), bytesOut.get(i), framesIn.get(i), bytesIn.get(i)));
        }
        return counts;
    }

    /**
     * Returns the index of the frame's message type. A message is an array of at most 15 elements, so its header takes
     * one byte, and its first element is the type, which takes the second byte.
     */
    private static int index(byte[] frame) {
        if (frame.length < 2) {
            return KEEPALIVE_INDEX;
        }
        int type = frame[1];
        return type >= 0 && type < UNKNOWN_INDEX - 1 ? type + 1 : UNKNOWN_INDEX;
    }
}
