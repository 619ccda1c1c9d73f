import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The head of an HTTP/1.1 message, and the reading of bodies. */
final class Message {
    final String start;
    final List<String[]> headers = new ArrayList<>();

    private Message(String start) {
        this.start = start;
    }

    /** Reads a head; returns null if the connection ends before it. */
    static Message read(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            return null;
        }
        Message message = new Message(line);
        while (true) {
            String header = line(in);
            if (header == null) {
                throw new EOFException("the head is cut");
            }
            if (header.isEmpty()) {
                return message;
            }
            int colon = header.indexOf(':');
            message.headers.add(new String[] {header.substring(0, colon), header.substring(colon + 1).strip()});
        }
    }

    String header(String name) {
        for (String[] h : headers) {
            if (h[0].equalsIgnoreCase(name)) {
                return h[1];
            }
        }
        return "";
    }

    long number(String name, long otherwise) {
        String text = header(name);
        return text.isEmpty() ? otherwise : Long.parseLong(text);
    }

    /** Reads the body and passes each piece on as it arrives; throws if the body is cut. */
    void readBody(InputStream in, boolean request, Consumer<byte[]> piece) throws IOException {
        if (header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("the body is cut");
                }
                int length = Integer.parseInt(size.split(";")[0].strip(), 16);
                if (length == 0) {
                    line(in);
                    return;
                }
                piece.accept(exactly(in, length));
                line(in);
            }
        }
        long length = number("Content-Length", request ? 0 : -1);
        if (length > 0) {
            piece.accept(exactly(in, (int) length));
        } else if (length < 0) {
            byte[] buffer = new byte[8192];
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                piece.accept(java.util.Arrays.copyOf(buffer, n));
            }
        }
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body is cut");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("a line is cut");
            }
            if (b == '\n') {
                return bytes.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            bytes.write(b);
        }
    }
}
