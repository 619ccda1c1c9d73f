package org.jujuberouter.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.jujuberouter.peer.PeerException.Kind;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Reads size-limited fields from a frame; each size is checked before memory is allocated for it. */
final class FieldReader {
    private final MessageUnpacker in;
    private final int length;

    FieldReader(byte[] frame) {
        this.in = MessagePack.newDefaultUnpacker(frame);
        this.length = frame.length;
    }

    /** Reads an element of a list or the fields of a nested struct. */
    @FunctionalInterface
    interface Element<T> {
        T read(FieldReader in) throws IOException, PeerException;
    }

    /** Reads an array of at least {@code known} fields and skips fields added by later minor versions. */
    <T> T struct(String what, int known, Element<T> body) throws IOException, PeerException {
        int count = in.unpackArrayHeader();
        if (count < known) {
            throw PeerException.of(Kind.MALFORMED, what, count + " fields, expected at least " + known);
        }
        requireCountInFrame(what, count);
        T value = body.read(this);
        in.skipValue(count - known);
        return value;
    }

    int arrayHeader() throws IOException, PeerException {
        int count = in.unpackArrayHeader();
        requireCountInFrame("message", count);
        return count;
    }

    void skip(int count) throws IOException {
        in.skipValue(count);
    }

    <T> List<T> list(String what, int limit, Element<T> element) throws IOException, PeerException {
        int count = in.unpackArrayHeader();
        if (count > limit) {
            throw PeerException.of(Kind.OVERSIZED, "count of " + what, count, limit);
        }
        requireCountInFrame(what, count);
        List<T> values = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            values.add(element.read(this));
        }
        return values;
    }

    String text(String what) throws IOException, PeerException {
        int size = in.unpackRawStringHeader();
        if (size > PeerCodec.MAX_TEXT_BYTES) {
            throw PeerException.of(Kind.OVERSIZED, "size of " + what, size, PeerCodec.MAX_TEXT_BYTES);
        }
        byte[] bytes = payload(what, size);
        return isPrintableAscii(bytes) ? new String(bytes, StandardCharsets.ISO_8859_1) : decode(what, bytes);
    }

    private static boolean isPrintableAscii(byte[] bytes) {
        for (byte b : bytes) {
            if (b < ' ' || b > '~') {
                return false;
            }
        }
        return true;
    }

    private static String decode(String what, byte[] bytes) throws PeerException {
        try {
            String text = StandardCharsets.UTF_8
                    .newDecoder()
                    .onMalformedInput(CodingErrorAction.REPORT)
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
            // Texts from peers are logged; a line break could forge a log line.
            if (text.chars().anyMatch(Character::isISOControl)) {
                throw PeerException.of(Kind.MALFORMED, what, "the text contains control characters");
            }
            return text;
        } catch (CharacterCodingException e) {
            throw PeerException.of(Kind.MALFORMED, what, "the text is not valid UTF-8");
        }
    }

    <T> T id(String what, Function<String, T> type) throws IOException, PeerException {
        String text = text(what);
        try {
            return type.apply(text);
        } catch (IllegalArgumentException e) {
            throw PeerException.malformed(what, e);
        }
    }

    <T> Optional<T> optionalId(String what, Function<String, T> type) throws IOException, PeerException {
        return in.tryUnpackNil() ? Optional.empty() : Optional.of(id(what, type));
    }

    long number(String what) throws IOException, PeerException {
        long value = in.unpackLong();
        if (value < 0) {
            throw PeerException.of(Kind.MALFORMED, what, "the number " + value + " is negative");
        }
        return value;
    }

    /** Reads a ticker time of another process, which may be negative. */
    long tickerTime() throws IOException {
        return in.unpackLong();
    }

    double decimal(String what) throws IOException, PeerException {
        double value = in.unpackDouble();
        if (!(value >= 0) || Double.isInfinite(value)) {
            throw PeerException.of(Kind.MALFORMED, what, "the number " + value + " is not finite and at least 0");
        }
        return value;
    }

    boolean bool() throws IOException {
        return in.unpackBoolean();
    }

    byte[] bytes(String what) throws IOException, PeerException {
        return payload(what, in.unpackBinaryHeader());
    }

    void requireEnd() throws PeerException {
        if (in.getTotalReadBytes() != length) {
            throw PeerException.of(
                    Kind.MALFORMED, "frame", (length - in.getTotalReadBytes()) + " bytes after the message");
        }
    }

    private byte[] payload(String what, int size) throws IOException, PeerException {
        if (size > length - in.getTotalReadBytes()) {
            throw PeerException.of(Kind.TRUNCATED, what);
        }
        return in.readPayload(size);
    }

    /** Checks the count against the remaining bytes: each element takes at least one byte. */
    private void requireCountInFrame(String what, int count) throws PeerException {
        if (count > length - in.getTotalReadBytes()) {
            throw PeerException.of(Kind.TRUNCATED, what);
        }
    }
}
