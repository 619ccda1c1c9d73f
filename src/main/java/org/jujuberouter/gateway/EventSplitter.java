package org.jujuberouter.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/**
 * Splits the bytes of an event stream (text/event-stream) at event boundaries.
 *
 * <p>An engine may fail in the middle of an event. Only complete events are forwarded to the caller, so that another
 * engine can resume after the last of them; the partial event is then discarded.
 */
final class EventSplitter {
    /** Largest accepted event; events carry some tens of tokens, so a larger one is not part of a sound stream. */
    static final int MAX_EVENT_BYTES = 64 << 10;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    /** Bytes before the end of a blank line that decide whether the line is blank. */
    private static final int MAX_BOUNDARY_BYTES = 3;

    private final ByteBuf pending = Unpooled.buffer(256);
    private String lastId;

    private EventSplitter(String lastId) {
        this.lastId = lastId;
    }

    /** Returns a splitter for a stream that resumes after the given event id; empty at the start of a stream. */
    static EventSplitter after(String lastId) {
        return new EventSplitter(lastId);
    }

    /** Returns the id of the last complete event. */
    String lastId() {
        return lastId;
    }

    /**
     * Appends bytes and returns all events that are now complete, or an empty buffer.
     *
     * @throws MalformedResponseException if the incomplete event is larger than any event of a sound stream; an engine
     *     may send bytes without end that contain no event
     */
    ByteBuf feed(ByteBuf bytes) throws MalformedResponseException {
        int scanned = Math.max(pending.readerIndex(), pending.writerIndex() - MAX_BOUNDARY_BYTES);
        pending.writeBytes(bytes);
        int end = endOfLastEvent(scanned);
        int incompleteBytes = pending.writerIndex() - Math.max(end, pending.readerIndex());
        if (incompleteBytes > MAX_EVENT_BYTES) {
            throw MalformedResponseException.eventTooLarge(incompleteBytes, MAX_EVENT_BYTES);
        }
        if (end < 0) {
            return Unpooled.EMPTY_BUFFER;
        }
        ByteBuf events = pending.readBytes(end - pending.readerIndex());
        pending.discardReadBytes();
        recordLastId(events);
        return events;
    }

    /** Returns whether there are bytes after the last complete event. */
    boolean hasPartialEvent() {
        return pending.isReadable();
    }

    /** Discards a partial event before another engine resumes after the last complete one. */
    void discardPartialEvent() {
        pending.clear();
    }

    /**
     * Returns the index after the last blank line, or -1 if there is none; lines end with LF or CR LF.
     *
     * @param from index before which no blank line ends; bytes that were searched before are not searched again
     */
    private int endOfLastEvent(int from) {
        for (int i = pending.writerIndex() - 1; i >= from && i > pending.readerIndex(); i--) {
            if (pending.getByte(i) == '\n') {
                int before = pending.getByte(i - 1) == '\r' ? i - 2 : i - 1;
                if (before >= pending.readerIndex() && pending.getByte(before) == '\n') {
                    return i + 1;
                }
            }
        }
        return -1;
    }

    private void recordLastId(ByteBuf events) {
        int start = events.readerIndex();
        while (start < events.writerIndex()) {
            int end = events.indexOf(start, events.writerIndex(), (byte) '\n');
            if (end < 0) {
                return;
            }
            if (isIdField(events, start, end)) {
                int from = start + ID_FIELD.length;
                lastId = events.toString(from, end - from, StandardCharsets.UTF_8)
                        .strip();
            }
            start = end + 1;
        }
    }

    private static boolean isIdField(ByteBuf buffer, int start, int end) {
        if (end - start < ID_FIELD.length) {
            return false;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (buffer.getByte(start + i) != ID_FIELD[i]) {
                return false;
            }
        }
        return true;
    }
}
