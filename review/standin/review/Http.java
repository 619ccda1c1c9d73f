package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** The parts of HTTP/1.1 that the stand-ins need, on plain sockets. */
final class Http {
    private static final int MAX_LINE = 65_536;

    private Http() {}

    /** The first line and the header fields of a message; names are in lower case. */
    record Head(String line, Map<String, String> fields) {
        String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        /** Returns the second word of the first line: the path of a request or the status of a response. */
        String word() {
            String[] words = line.split(" ");
            return words.length < 2 ? "" : words[1];
        }
    }

    /** A message; {@code complete} is false if it ended early, and {@code end} says how. */
    record Message(Head head, byte[] body, boolean complete, String end) {
        int status() {
            return head == null ? 0 : Integer.parseInt(head.word());
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static InputStream buffered(InputStream in) {
        return new BufferedInputStream(in, 16_384);
    }

    /** Reads a head; returns null if the connection ended before it. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                throw new EOFException("the connection ended within a head");
            }
            if (line.isEmpty()) {
                return new Head(first, fields);
            }
            int colon = line.indexOf(':');
            fields.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
            if (line.size() > MAX_LINE) {
                throw new IOException("a line is too long");
            }
        }
    }

    /** Waits before each piece of a body is read; lets a client read slowly. */
    interface Pace {
        void beforeRead(int bytesSoFar) throws IOException;
    }

    /** Reads a response with its body, in pieces of the given size at most. */
    static Message readResponse(InputStream in, int pieceBytes, Pace pace) {
        Head head = null;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            head = readHead(in);
            if (head == null) {
                return new Message(null, new byte[0], false, "closed before an answer");
            }
            if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
                while (true) {
                    String size = readLine(in);
                    if (size == null) {
                        return new Message(head, body.toByteArray(), false, "closed before the last chunk");
                    }
                    int left = Integer.parseInt(size.strip(), 16);
                    if (left == 0) {
                        readLine(in);
                        return new Message(head, body.toByteArray(), true, "last chunk");
                    }
                    if (!readInto(in, left, body, pieceBytes, pace) || readLine(in) == null) {
                        return new Message(head, body.toByteArray(), false, "closed within a chunk");
                    }
                }
            }
            if (!head.field("content-length").isEmpty()) {
                int length = Integer.parseInt(head.field("content-length"));
                boolean whole = readInto(in, length, body, pieceBytes, pace);
                return new Message(head, body.toByteArray(), whole, whole ? "whole length" : "closed before its length");
            }
            byte[] piece = new byte[pieceBytes];
            while (true) {
                pace.beforeRead(body.size());
                int n = in.read(piece);
                if (n < 0) {
                    return new Message(head, body.toByteArray(), true, "closed, without a length");
                }
                body.write(piece, 0, n);
            }
        } catch (IOException e) {
            return new Message(head, body.toByteArray(), false, "failed: " + e.getMessage());
        }
    }

    private static boolean readInto(InputStream in, int length, ByteArrayOutputStream body, int pieceBytes, Pace pace)
            throws IOException {
        byte[] piece = new byte[pieceBytes];
        int left = length;
        while (left > 0) {
            pace.beforeRead(body.size());
            int n = in.read(piece, 0, Math.min(left, piece.length));
            if (n < 0) {
                return false;
            }
            body.write(piece, 0, n);
            left -= n;
        }
        return true;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
