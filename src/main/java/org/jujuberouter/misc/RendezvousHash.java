package org.jujuberouter.misc;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Rendezvous hashing (highest random weight).
 *
 * <p>Each candidate's score is a hash of the key and the candidate's string form; the highest score is selected. When
 * one of n candidates is removed, only the 1/n of the keys that it held are reassigned. All processes with the same
 * candidates compute the same ranking without communication.
 */
public final class RendezvousHash {
    private static final long SPLITMIX64_GAMMA = 0x9E3779B97F4A7C15L;

    private RendezvousHash() {}

    /** Returns the candidates ranked from the highest score to the lowest. */
    public static <T> List<T> rank(String key, Collection<T> candidates) {
        long k = hash(key);
        // Scores are computed once per candidate, because each hashes the whole string form.
        return candidates.stream()
                .map(c -> new Scored<>(c, score(k, c.toString())))
                .sorted(Comparator.<Scored<T>>comparingLong(Scored::score)
                        .reversed()
                        .thenComparing(s -> s.candidate().toString()))
                .map(Scored::candidate)
                .toList();
    }

    /** Returns the candidate with the highest score; empty if there are no candidates. */
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

    /** Applies the SplitMix64 finalizer, so that similar strings get uncorrelated scores. */
    private static long mix(long value) {
        long z = value + SPLITMIX64_GAMMA;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}
