package lab;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start of the script. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized long line(String format, Object... args) {
        long now = nowMs();
        out.println(String.format("%7d  ", now) + String.format(format, args));
        return now;
    }

    void say(String format, Object... args) {
        line(format, args);
        System.out.println(String.format(format, args));
    }

    @Override
    public void close() {
        out.close();
    }
}
