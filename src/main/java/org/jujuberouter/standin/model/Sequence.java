package org.jujuberouter.standin.model;

import java.util.ArrayList;
import java.util.List;

/** One request, export or reservation inside an engine. */
final class Sequence {
    /** Characters of every token's text, all of them one byte in UTF-8. */
    static final int TOKEN_BYTES = 6;

    private static final int LETTERS = 26;

    final EngineRequest request;
    final long order;
    final long submittedNanos;
    RequestState state = RequestState.WAITING;
    long prefilled;
    long cached;
    long reserved;
    int generated;
    int acknowledged;
    /** Prompt tokens that the current step processes. */
    int chunk;

    long firstTokenNanos = -1;
    long completedNanos = -1;

    Sequence(EngineRequest request, long order, long now) {
        this.request = request;
        this.order = order;
        this.submittedNanos = now;
    }

    boolean runs() {
        return state == RequestState.PREFILL || state == RequestState.DECODING;
    }

    long kvTokens() {
        return switch (state) {
            case WAITING, COMPLETED -> 0;
            case RESERVED -> reserved;
            case PREFILL, DECODING, EXPORTED -> prefilled + generated;
        };
    }

    long heldBytes() {
        return (long) (generated - acknowledged) * TOKEN_BYTES;
    }

    long pendingPrefill() {
        return state == RequestState.WAITING || state == RequestState.PREFILL ? request.promptTokens() - prefilled : 0;
    }

    List<String> tokens(int from, int to) {
        List<String> tokens = new ArrayList<>(Math.max(0, to - from));
        for (int i = from; i < to; i++) {
            tokens.add(token(request.answerSeed(), request.answerOffset() + i));
        }
        return tokens;
    }

    private static String token(long seed, int position) {
        long z = (seed + position * 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 29)) >>> 1;
        char[] text = new char[TOKEN_BYTES];
        for (int i = 0; i < TOKEN_BYTES - 1; i++) {
            text[i] = (char) ('a' + z % LETTERS);
            z /= LETTERS;
        }
        text[TOKEN_BYTES - 1] = ' ';
        return new String(text);
    }

    RequestStatus status() {
        return new RequestStatus(
                request.id(),
                request.holder(),
                state,
                prefilled,
                cached,
                generated,
                kvTokens(),
                heldBytes(),
                submittedNanos,
                firstTokenNanos);
    }
}
