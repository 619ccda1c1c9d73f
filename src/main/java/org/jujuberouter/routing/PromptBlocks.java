package org.jujuberouter.routing;

/**
 * The chain of block hashes of a prompt.
 *
 * <p>The hash of a block covers the block and all blocks before it, so equal hashes mean equal prefixes. Routing
 * indexes only a sample of the depths: every block of the first 32, every 8th up to 256 and every 64th after that,
 * which is at most 120 blocks for a million tokens. The lowest bit of a hash is set if its depth is sampled, because a
 * cache event does not carry the depth.
 */
public final class PromptBlocks {
    /** Characters in a block, about 256 tokens. */
    public static final int BLOCK_CHARS = 1024;

    private static final int DENSE_DEPTH = 32;
    private static final int MEDIUM_DEPTH = 256;
    private static final int MEDIUM_STRIDE = 8;
    private static final int SPARSE_STRIDE = 64;

    private PromptBlocks() {}

    /** Returns the hash chain of the full blocks of a text. */
    public static long[] ofText(CharSequence text) {
        long[] contents = new long[text.length() / BLOCK_CHARS];
        for (int i = 0; i < contents.length; i++) {
            long h = i;
            for (int c = i * BLOCK_CHARS; c < (i + 1) * BLOCK_CHARS; c++) {
                h = h * 0x9E3779B97F4A7C15L + text.charAt(c);
                h ^= h >>> 29;
            }
            contents[i] = h;
        }
        return ofContents(contents);
    }

    /** Returns the hash chain of blocks whose contents have the given hashes. */
    public static long[] ofContents(long[] contents) {
        long[] chain = new long[contents.length];
        long h = 0;
        for (int i = 0; i < contents.length; i++) {
            h = mix(h ^ mix(contents[i]));
            h = isSampledDepth(i + 1) ? h | 1 : h & ~1;
            chain[i] = h;
        }
        return chain;
    }

    static boolean isSampled(long hash) {
        return (hash & 1) == 1;
    }

    private static boolean isSampledDepth(int depth) {
        if (depth <= DENSE_DEPTH) {
            return true;
        }
        return depth % (depth <= MEDIUM_DEPTH ? MEDIUM_STRIDE : SPARSE_STRIDE) == 0;
    }

    static long mix(long value) {
        long z = value + 0x9E3779B97F4A7C15L;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}
