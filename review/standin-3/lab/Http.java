package lab;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A message of HTTP/1.1 as it is read from a socket. */
final class Http {
    final String first;
    final Map<String, String> headers;
    byte[] body = new byte[0];
    boolean complete;

    private Http(String first, Map<String, String> headers) {
        this.first = first;
        this.headers = headers;
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(java.util.Locale.ROOT), "");
    }

    String method() {
        return first.split(" ")[0];
    }

    String target() {
        return first.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(first.split(" ")[1]);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Reads the head of a message; returns null at the end of the input. */
    static Http readHead(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || first.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String l = line(in); l != null && !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            headers.put(l.substring(0, colon).strip().toLowerCase(java.util.Locale.ROOT), l.substring(colon + 1).strip());
        }
        return new Http(first, headers);
    }

    /** Reads the body; what came before a broken end is kept, and then the message is not complete. */
    void readBody(InputStream in, boolean response) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try {
            if (header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
                while (true) {
                    String size = line(in);
                    if (size == null) {
                        return;
                    }
                    int n = Integer.parseInt(size.strip(), 16);
                    if (n == 0) {
                        line(in);
                        complete = true;
                        return;
                    }
                    if (!copy(in, all, n)) {
                        return;
                    }
                    line(in);
                }
            }
            String length = header("Content-Length");
            if (!length.isEmpty()) {
                complete = copy(in, all, Integer.parseInt(length));
            } else if (response) {
                for (int b = in.read(); b >= 0; b = in.read()) {
                    all.write(b);
                }
                complete = true;
            } else {
                complete = true;
            }
        } catch (IOException e) {
            complete = false;
        } finally {
            body = all.toByteArray();
        }
    }

    private static boolean copy(InputStream in, ByteArrayOutputStream out, int n) throws IOException {
        for (int i = 0; i < n; i++) {
            int b = in.read();
            if (b < 0) {
                return false;
            }
            out.write(b);
        }
        return true;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                String s = out.toString(StandardCharsets.ISO_8859_1);
                return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
            }
            out.write(b);
        }
        return out.size() == 0 ? null : out.toString(StandardCharsets.ISO_8859_1);
    }
}
