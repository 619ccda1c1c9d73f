package org.jujuberouter.misc;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Rendezvous hashing.
 *
 * <p>Each candidate gets a score from the key and its own name, and the highest wins. When one of n candidates leaves,
 * only its own 1/n of the keys move, and every process computes the same order without any exchange.
 */
public final class RendezvousHash {
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private RendezvousHash() {}

    /** Returns the candidates from the highest score to the lowest. */
    public static <T> List<T> rank(String key, Collection<T> candidates) {
        long k = hash(key);
        // A score reads the whole name, so it is not left to the comparisons of the sort.
        return candidates.stream()
                .map(c -> new Scored<>(c, score(k, c.toString())))
                .sorted(Comparator.<Scored<T>>comparingLong(Scored::score)
                        .reversed()
                        .thenComparing(s -> s.candidate().toString()))
                .map(Scored::candidate)
                .toList();
    }

    /** Returns the candidate with the highest score, if there is any candidate. */
    public static <T> Optional<T> select(String key, Collection<T> candidates) {
        long k = hash(key);
        return candidates.stream()
                .max(Comparator.<T>comparingLong(c -> score(k, c.toString()))
                        .thenComparing(Comparator.<T, String>comparing(Object::toString)
                                .reversed()));
    }

    private record Scored<T>(T candidate, long score) {}

    private static long score(long key, String candidate) {
        return mix(key ^ hash(candidate)) >>> 1;
    }

    private static long hash(String text) {
        long h = text.length();
        for (int i = 0; i < text.length(); i++) {
            h = mix(h + text.charAt(i));
        }
        return h;
    }

    /** Applies the finalizer of SplitMix64, so that similar names get unrelated scores. */
    private static long mix(long value) {
        long z = value + GOLDEN_GAMMA;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}
