package org.jujuberouter.load;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/**
 * The body of a completion request, generated while it is sent.
 *
 * <p>A prompt token is a word of three letters and a space, so that it counts as one token both by words and by four bytes
 * a token. The body is never held as a whole: a prompt of a million tokens is 4 MB, and many are open at once.
 */
final class PromptBody extends InputStream {
    private static final int WORD_BYTES = 4;

    /** The share of a prompt that its prefix group determines. */
    private static final double SHARED_SHARE = 0.75;

    private final byte[] head;
    private final byte[] tail;
    private final int words;
    private final int sharedWords;
    private final long sharedSeed;
    private final long ownSeed;
    private final long length;
    private long position;
    private long wordIndex = -1;
    private long wordLetters;

    private PromptBody(TraceEntry entry, String model, long seed, String marker) {
        String start = String.format(
                "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%d,\"prompt\":\"",
                model, entry.kind() == RequestKind.STREAM, entry.answerTokens());
        this.head = start.getBytes(StandardCharsets.UTF_8);
        this.tail = (marker + "\"}").getBytes(StandardCharsets.UTF_8);
        // The marker is the last word.
        this.words = Math.max(0, entry.promptTokens() - 1);
        this.sharedWords = entry.prefixGroup().isEmpty() ? 0 : (int) (words * SHARED_SHARE);
        this.length = head.length + (long) words * WORD_BYTES + tail.length;
        this.sharedSeed = seed * 31 + entry.prefixGroup().hashCode();
        this.ownSeed = seed * 31 + marker.hashCode();
    }

    static PromptBody of(TraceEntry entry, String model, long seed, String marker) {
        return new PromptBody(entry, model, seed, marker);
    }

    long length() {
        return length;
    }

    @Override
    public int read() {
        if (position >= length) {
            return -1;
        }
        long at = position++;
        if (at < head.length) {
            return head[(int) at];
        }
        long inWords = at - head.length;
        if (inWords >= (long) words * WORD_BYTES) {
            return tail[(int) (inWords - (long) words * WORD_BYTES)];
        }
        return wordByte(inWords / WORD_BYTES, (int) (inWords % WORD_BYTES));
    }

    @Override
    public int read(byte[] into, int offset, int count) {
        if (count == 0) {
            return 0;
        }
        int done = 0;
        for (int b = 0; done < count && (b = read()) >= 0; done++) {
            into[offset + done] = (byte) b;
        }
        return done == 0 ? -1 : done;
    }

    private int wordByte(long word, int at) {
        if (at == WORD_BYTES - 1) {
            return ' ';
        }
        if (word != wordIndex) {
            wordIndex = word;
            long z = ((word < sharedWords ? sharedSeed : ownSeed) + word) * 0x9E3779B97F4A7C15L;
            z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
            wordLetters = (z ^ (z >>> 27)) >>> 8;
        }
        return 'a' + (int) (wordLetters >>> (8 * at) & 0xFF) % 26;
    }
}
