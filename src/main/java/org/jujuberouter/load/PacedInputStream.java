package org.jujuberouter.load;

import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;

/** Limits the rate of reads, to simulate a caller that reads slowly. */
final class PacedInputStream extends InputStream {
    private static final int MAX_READ_BYTES = 256;

    private final InputStream in;
    private final int bytesPerSecond;
    private long nextReadNanos = System.nanoTime();

    private PacedInputStream(InputStream in, int bytesPerSecond) {
        this.in = in;
        this.bytesPerSecond = bytesPerSecond;
    }

    static InputStream of(InputStream in, int bytesPerSecond) {
        return bytesPerSecond == 0 ? in : new PacedInputStream(in, bytesPerSecond);
    }

    @Override
    public int read() throws IOException {
        byte[] single = new byte[1];
        return read(single, 0, 1) < 0 ? -1 : single[0] & 0xFF;
    }

    @Override
    public int read(byte[] buffer, int offset, int count) throws IOException {
        long waitNanos = nextReadNanos - System.nanoTime();
        if (waitNanos > 0) {
            try {
                Thread.sleep(waitNanos / 1_000_000, (int) (waitNanos % 1_000_000));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new InterruptedIOException("interrupted while waiting to read at the limited rate");
            }
        }
        int bytesRead = in.read(buffer, offset, Math.min(count, MAX_READ_BYTES));
        nextReadNanos = System.nanoTime() + Math.max(0, bytesRead) * 1_000_000_000L / bytesPerSecond;
        return bytesRead;
    }

    @Override
    public void close() throws IOException {
        in.close();
    }
}
