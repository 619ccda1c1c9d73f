package org.jujuberouter.standin.model;

import java.util.ArrayList;
import java.util.List;

/** A request, export or reservation in an engine. */
final class Sequence {
    /** Length of the text of each token; every character takes one byte in UTF-8. */
    static final int TOKEN_BYTES = 6;

    private static final int ALPHABET_SIZE = 26;

    final EngineRequest request;
    final long arrivalIndex;
    final long submittedNanos;
    RequestState state = RequestState.WAITING;
    long prefilled;
    long cached;
    long reservedTokens;
    int generated;
    int acknowledged;
    /** Prompt tokens that the current step processes. */
    int prefillChunk;

    long firstTokenNanos = -1;
    long completedNanos = -1;

    Sequence(EngineRequest request, long arrivalIndex, long now) {
        this.request = request;
        this.arrivalIndex = arrivalIndex;
        this.submittedNanos = now;
    }

    boolean isRunning() {
        return state == RequestState.PREFILL || state == RequestState.DECODING;
    }

    long kvTokens() {
        return switch (state) {
            case WAITING, COMPLETED -> 0;
            case RESERVED -> reservedTokens;
            case PREFILL, DECODING, EXPORTED -> prefilled + generated;
        };
    }

    long heldBytes() {
        return (long) (generated - acknowledged) * TOKEN_BYTES;
    }

    long pendingPrefillTokens() {
        return state == RequestState.WAITING || state == RequestState.PREFILL ? request.promptTokens() - prefilled : 0;
    }

    List<String> tokens(int from, int to) {
        List<String> tokens = new ArrayList<>(Math.max(0, to - from));
        for (int i = from; i < to; i++) {
            tokens.add(token(request.answerSeed(), request.answerOffset() + i));
        }
        return tokens;
    }

    /** Returns a pseudorandom text that depends only on the seed of the answer and the position in it. */
    private static String token(long seed, int position) {
        long z = (seed + position * 0x9E3779B97F4A7C15L) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 29)) >>> 1;
        char[] text = new char[TOKEN_BYTES];
        for (int i = 0; i < TOKEN_BYTES - 1; i++) {
            text[i] = (char) ('a' + z % ALPHABET_SIZE);
            z /= ALPHABET_SIZE;
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
