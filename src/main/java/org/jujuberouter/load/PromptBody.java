package org.jujuberouter.load;

import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/**
 * The JSON body of a completion request, generated while it is sent.
 *
 * <p>Each prompt token is a word of three letters and a space, so that it counts as one token both when counting words
 * and at four bytes per token. The body is never buffered completely: a prompt of a million tokens takes 4 MB, and many
 * requests are open at once.
 */
final class PromptBody extends InputStream {
    private static final int WORD_BYTES = 4;

    /** Fraction of the prompt that is the same for all prompts of a prefix group. */
    private static final double SHARED_PREFIX_FRACTION = 0.75;

    private final byte[] prefix;
    private final byte[] suffix;
    private final int wordCount;
    private final int sharedWordCount;
    private final long sharedSeed;
    private final long uniqueSeed;
    private final long length;
    private long position;
    private long cachedWord = -1;
    private long cachedWordHash;

    private PromptBody(TraceEntry entry, String model, long seed, String marker) {
        String json = String.format(
                "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%d,\"prompt\":\"",
                model, entry.kind() == RequestKind.STREAM, entry.answerTokens());
        this.prefix = json.getBytes(StandardCharsets.UTF_8);
        this.suffix = (marker + "\"}").getBytes(StandardCharsets.UTF_8);
        // The marker counts as the last token.
        this.wordCount = Math.max(0, entry.promptTokens() - 1);
        this.sharedWordCount = entry.prefixGroup().isEmpty() ? 0 : (int) (wordCount * SHARED_PREFIX_FRACTION);
        this.length = prefix.length + (long) wordCount * WORD_BYTES + suffix.length;
        this.sharedSeed = seed * 31 + entry.prefixGroup().hashCode();
        this.uniqueSeed = seed * 31 + marker.hashCode();
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
        long offset = position++;
        if (offset < prefix.length) {
            return prefix[(int) offset];
        }
        long promptOffset = offset - prefix.length;
        if (promptOffset >= (long) wordCount * WORD_BYTES) {
            return suffix[(int) (promptOffset - (long) wordCount * WORD_BYTES)];
        }
        return wordByte(promptOffset / WORD_BYTES, (int) (promptOffset % WORD_BYTES));
    }

    @Override
    public int read(byte[] buffer, int offset, int count) {
        if (count == 0) {
            return 0;
        }
        int filled = 0;
        for (int b = 0; filled < count && (b = read()) >= 0; filled++) {
            buffer[offset + filled] = (byte) b;
        }
        return filled == 0 ? -1 : filled;
    }

    private int wordByte(long word, int byteIndex) {
        if (byteIndex == WORD_BYTES - 1) {
            return ' ';
        }
        if (word != cachedWord) {
            cachedWord = word;
            long hash = ((word < sharedWordCount ? sharedSeed : uniqueSeed) + word) * 0x9E3779B97F4A7C15L;
            hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
            cachedWordHash = (hash ^ (hash >>> 27)) >>> 8;
        }
        return 'a' + (int) (cachedWordHash >>> (8 * byteIndex) & 0xFF) % 26;
    }
}
