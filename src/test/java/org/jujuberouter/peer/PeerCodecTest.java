package org.jujuberouter.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.RequestTrait;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.id.StorePosition;
import org.jujuberouter.peer.PeerException.Kind;
import org.jujuberouter.peer.PeerMessage.CustomerDemand;
import org.jujuberouter.peer.PeerMessage.Heartbeat;
import org.jujuberouter.peer.PeerMessage.Hello;
import org.jujuberouter.peer.PeerMessage.SettingsPull;
import org.jujuberouter.peer.PeerMessage.SettingsPush;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/**
 * Tests that messages are decoded as they were encoded, and that invalid bytes are rejected with a {@link
 * PeerException}.
 */
class PeerCodecTest {
    private static final int FUZZ_FRAMES = 200_000;

    @Test
    void decodesEachMessageToWhatWasEncoded() throws Exception {
        for (PeerMessage message : SampleMessages.all()) {
            assertEquals(message, PeerCodec.decode(PeerCodec.encode(message)));
        }
    }

    @Test
    void ignoresFieldsThatALaterMinorVersionAdded() throws Exception {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(4).packInt(PeerCodec.SETTINGS_PULL).packLong(9);
            out.packArrayHeader(1).packString("later").packMapHeader(0);
            assertEquals(new SettingsPull(9), PeerCodec.decode(out.toByteArray()));
        }
    }

    /** In a rolling upgrade, instances of a build that reports no revision stay connected. */
    @Test
    void readsAContactReportWithoutTheAgeAndRevisionOfTheView() throws Exception {
        byte[] three;
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            byte[] five =
                    PeerCodec.encode(new PeerMessage.ContactReport(-7, 640, 18_233, 910, StorePosition.of(0, 91_877)));
            int type = MessagePack.newDefaultUnpacker(five)
                    .unpackValue()
                    .asArrayValue()
                    .get(0)
                    .asIntegerValue()
                    .asInt();
            packer.packArrayHeader(4).packInt(type).packLong(-7).packLong(640).packLong(18_233);
            three = packer.toByteArray();
        }
        assertEquals(new PeerMessage.ContactReport(-7, 640, 18_233, 0, StorePosition.NONE), PeerCodec.decode(three));
    }

    /** In a rolling upgrade, instances of a build that knows no unready time stay connected and grant nothing. */
    @Test
    void readsAContactQueryAndReportWithoutUnreadyTime() throws Exception {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(2).packInt(PeerCodec.CONTACT_QUERY).packLong(-7);
            assertEquals(new PeerMessage.ContactQuery(-7, 0), PeerCodec.decode(packer.toByteArray()));
        }
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(6).packInt(PeerCodec.CONTACT_REPORT).packLong(-7);
            packer.packLong(640).packLong(18_233).packLong(910).packLong(91_877);
            assertEquals(
                    new PeerMessage.ContactReport(-7, 640, 18_233, 910, StorePosition.of(0, 91_877), 0),
                    PeerCodec.decode(packer.toByteArray()));
        }
    }

    /** In a rolling upgrade, instances of a build that knows no eras of the store stay connected. */
    @Test
    void readsAContactReportWithoutTheEraOfTheView() throws Exception {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(7).packInt(PeerCodec.CONTACT_REPORT).packLong(-7);
            packer.packLong(640).packLong(18_233).packLong(910).packLong(91_877).packLong(5);
            assertEquals(
                    new PeerMessage.ContactReport(-7, 640, 18_233, 910, StorePosition.of(0, 91_877), 5),
                    PeerCodec.decode(packer.toByteArray()));
        }
    }

    /** In a rolling upgrade, instances of a build without shares among customers stay connected. */
    @Test
    void readsAStartOfWorkWithoutWorkAndCustomer() throws Exception {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(4).packInt(PeerCodec.WORK_STARTED).packString("r-1");
            packer.packLong(15_000).packArrayHeader(0);
            assertEquals(
                    new PeerMessage.WorkStarted(RequestId.of("r-1"), 15_000, List.of(), 0, 0, Optional.empty()),
                    PeerCodec.decode(packer.toByteArray()));
        }
    }

    /** In a rolling upgrade, instances of a build that reports no times of suspect calls stay connected. */
    @Test
    void readsACrashWithoutTheTimesOfItsSuspectCalls() throws Exception {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(4).packInt(PeerCodec.ENDPOINT_CRASHED).packString("e-1");
            packer.packLong(40).packArrayHeader(1).packArrayHeader(1).packString("part/assistant/aa");
            RequestTrait part = RequestTrait.part(ServiceName.of("assistant"), "aa");
            assertEquals(
                    new PeerMessage.EndpointCrashed(
                            EndpointId.of("e-1"),
                            40,
                            List.of(new PeerMessage.SuspectCall(List.of(part), OptionalLong.empty()))),
                    PeerCodec.decode(packer.toByteArray()));
        }
    }

    @Test
    void rejectsACrashWithMoreSuspectCallsThanTimes() throws Exception {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(5).packInt(PeerCodec.ENDPOINT_CRASHED).packString("e-1");
            packer.packLong(40).packArrayHeader(1).packArrayHeader(1).packString("part/assistant/aa");
            packer.packArrayHeader(0);
            assertEquals(Kind.MALFORMED, decodeError(packer.toByteArray()).kind());
        }
    }

    @Test
    void rejectsWrongMagicAndOtherVersionsBeforeReadingFurtherFields() throws Exception {
        assertEquals(Kind.WRONG_MAGIC, decodeError(hello("other", 1)).kind());
        PeerException newer = decodeError(hello(Hello.MAGIC, 2));
        assertEquals("the peer speaks version 2 of the protocol, this instance speaks version 1", newer.getMessage());
    }

    @Test
    void reportsEachPrefixOfAMessageAsTruncated() throws Exception {
        for (PeerMessage message : SampleMessages.all()) {
            byte[] encoded = PeerCodec.encode(message);
            for (int length = 1; length < encoded.length; length += 1 + encoded.length / 4096) {
                PeerException e = decodeError(Arrays.copyOf(encoded, length));
                assertEquals(Kind.TRUNCATED, e.kind(), e.getMessage());
            }
        }
    }

    @Test
    void refusesToEncodeOrDecodeAboveTheLimits() throws Exception {
        SettingsPush push = new SettingsPush(1, new byte[PeerCodec.MAX_DOCUMENT_BYTES + 1]);
        assertEquals(
                Kind.OVERSIZED,
                assertThrows(PeerException.class, () -> PeerCodec.encode(push)).kind());
        CustomerDemand demand = new CustomerDemand(CustomerId.of("c"), ServiceName.of("s"), 1, 1, 0, 0);
        Heartbeat tooManyCustomers = new Heartbeat(1, 1, List.of(), Collections.nCopies(33, demand), false);
        PeerException e = assertThrows(PeerException.class, () -> PeerCodec.encode(tooManyCustomers));
        assertEquals("count of demand is 33, the limit is 32", e.getMessage());
        assertEquals(
                Kind.OVERSIZED,
                decodeError(new byte[PeerCodec.MAX_FRAME_BYTES + 1]).kind());
        SettingsPush largest = new SettingsPush(Long.MAX_VALUE, new byte[PeerCodec.MAX_DOCUMENT_BYTES]);
        assertEquals(largest, PeerCodec.decode(PeerCodec.encode(largest)));
    }

    @Test
    void refusesBytesAfterTheMessage() throws Exception {
        byte[] encoded = PeerCodec.encode(new SettingsPull(3));
        assertEquals(
                "malformed frame: 2 bytes after the message",
                decodeError(Arrays.copyOf(encoded, encoded.length + 2)).getMessage());
    }

    /** Each frame either decodes to a message that can be encoded again, or fails with a {@link PeerException}. */
    @Test
    void decodesOrRejectsRandomAndMutatedFrames() throws Exception {
        Random random = new Random(20260);
        List<PeerMessage> samples = SampleMessages.all();
        int decoded = 0;
        for (int i = 0; i < FUZZ_FRAMES; i++) {
            byte[] frame = i % 4 == 0
                    ? randomBytes(random)
                    : mutated(random, PeerCodec.encode(samples.get(random.nextInt(samples.size()))));
            try {
                PeerMessage message = PeerCodec.decode(frame);
                assertEquals(message, PeerCodec.decode(PeerCodec.encode(message)));
                decoded++;
            } catch (PeerException e) {
                assertTrue(e.getMessage() != null && e.kind() != Kind.CLOSED);
            }
        }
        assertTrue(decoded > 1000, "only " + decoded + " frames decoded; the mutations destroy too many frames");
    }

    private static byte[] randomBytes(Random random) {
        byte[] bytes = new byte[random.nextInt(200)];
        random.nextBytes(bytes);
        return bytes;
    }

    private static byte[] mutated(Random random, byte[] frame) {
        byte[] copy = random.nextInt(4) == 0 ? Arrays.copyOf(frame, random.nextInt(frame.length + 8)) : frame;
        for (int n = random.nextInt(4); n >= 0 && copy.length > 0; n--) {
            copy[random.nextInt(copy.length)] = (byte) random.nextInt(256);
        }
        return copy;
    }

    private static byte[] hello(String magic, int version) throws Exception {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(3).packInt(PeerCodec.HELLO).packString(magic).packInt(version);
            return out.toByteArray();
        }
    }

    private static PeerException decodeError(byte[] frame) {
        return assertThrows(PeerException.class, () -> PeerCodec.decode(frame));
    }
}
