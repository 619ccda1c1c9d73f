package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with the milliseconds since the start. */
final class Record {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long ms() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void line(String text) {
        out.println(String.format("%7d ms  %s", ms(), text));
        out.flush();
    }
}
