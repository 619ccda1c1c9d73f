package org.jujuberouter.load;

import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;

/** Reads no faster than a given rate, as a slow caller does. */
final class PacedInputStream extends InputStream {
    private static final int PIECE_BYTES = 256;

    private final InputStream in;
    private final int bytesPerSecond;
    private long readyAt = System.nanoTime();

    private PacedInputStream(InputStream in, int bytesPerSecond) {
        this.in = in;
        this.bytesPerSecond = bytesPerSecond;
    }

    static InputStream of(InputStream in, int bytesPerSecond) {
        return bytesPerSecond == 0 ? in : new PacedInputStream(in, bytesPerSecond);
    }

    @Override
    public int read() throws IOException {
        byte[] one = new byte[1];
        return read(one, 0, 1) < 0 ? -1 : one[0] & 0xFF;
    }

    @Override
    public int read(byte[] into, int offset, int count) throws IOException {
        long wait = readyAt - System.nanoTime();
        if (wait > 0) {
            try {
                Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new InterruptedIOException("interrupted while reading slowly");
            }
        }
        int got = in.read(into, offset, Math.min(count, PIECE_BYTES));
        readyAt = System.nanoTime() + Math.max(0, got) * 1_000_000_000L / bytesPerSecond;
        return got;
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
