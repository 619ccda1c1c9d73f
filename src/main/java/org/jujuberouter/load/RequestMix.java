package org.jujuberouter.load;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Distribution of request kinds and lengths in a workload.
 *
 * <p>Lengths within the bounds of a slice follow a log-uniform distribution, because the lengths of prompts for one
 * purpose vary by a factor rather than by a difference.
 */
public record RequestMix(List<Slice> slices) {
    /** Makes a defensive copy of the slices. */
    public RequestMix {
        slices = List.copyOf(slices);
    }

    /**
     * A weighted class of requests.
     *
     * @param weight relative frequency within the mix
     * @param kind kind of request
     * @param service service that is called
     * @param path path below a plain service; empty for completions
     * @param minPrompt minimum number of prompt tokens
     * @param maxPrompt maximum number of prompt tokens
     * @param minAnswer minimum number of completion tokens requested
     * @param maxAnswer maximum number of completion tokens requested
     */
    public record Slice(
            double weight,
            RequestKind kind,
            String service,
            String path,
            int minPrompt,
            int maxPrompt,
            int minAnswer,
            int maxAnswer) {
        private static Slice streamedCompletion(
                double weight, int minPrompt, int maxPrompt, int minAnswer, int maxAnswer) {
            return new Slice(weight, RequestKind.STREAM, "assistant", "", minPrompt, maxPrompt, minAnswer, maxAnswer);
        }

        private static Slice plainCall(double weight, RequestKind kind, String service, String path) {
            return new Slice(weight, kind, service, path, 0, 0, 0, 0);
        }

        int promptTokens(RandomGenerator random) {
            return logUniform(minPrompt, maxPrompt, random);
        }

        int answerTokens(RandomGenerator random) {
            return logUniform(minAnswer, maxAnswer, random);
        }

        private static int logUniform(int min, int max, RandomGenerator random) {
            return min <= 0 || min >= max
                    ? Math.max(0, min)
                    : (int) Math.round(min * Math.pow((double) max / min, random.nextDouble()));
        }
    }

    /** Returns the mix with the given name: {@code trays}, {@code permits} or {@code design}. */
    public static RequestMix named(String name) throws InvalidWorkloadException {
        return switch (name) {
            case "trays" ->
                new RequestMix(List.of(
                        Slice.streamedCompletion(48, 1_000, 8_000, 32, 256),
                        Slice.streamedCompletion(14, 8_000, 100_000, 64, 512),
                        Slice.streamedCompletion(2, 100_000, 1_000_000, 128, 512),
                        Slice.plainCall(14, RequestKind.POST, "ledger", "credits"),
                        Slice.plainCall(22, RequestKind.GET, "ledger", "balances")));
            case "permits" ->
                new RequestMix(List.of(
                        Slice.streamedCompletion(50, 1_000, 4_000, 16, 128),
                        new Slice(8, RequestKind.COMPLETION, "assistant", "", 1_000, 4_000, 16, 64),
                        Slice.streamedCompletion(10, 30_000, 100_000, 128, 768),
                        Slice.streamedCompletion(2, 100_000, 400_000, 256, 768),
                        Slice.plainCall(10, RequestKind.POST, "filing-desk", "filings"),
                        Slice.plainCall(20, RequestKind.GET, "filing-desk", "status")));
            // 1.8 million tokens/s at 5,100 requests/s is 353 tokens per response; 2% of prompts exceed 100,000 tokens.
            case "design" ->
                new RequestMix(List.of(
                        Slice.streamedCompletion(70, 1_000, 10_000, 128, 640),
                        Slice.streamedCompletion(28, 10_000, 100_000, 256, 1_024),
                        Slice.streamedCompletion(2, 100_001, 1_000_000, 256, 1_024)));
            default ->
                throw InvalidWorkloadException.of(
                        "unknown request mix \"%s\"; expected trays, permits or design", name);
        };
    }

    Slice sample(RandomGenerator random) {
        double remaining =
                random.nextDouble() * slices.stream().mapToDouble(Slice::weight).sum();
        for (Slice slice : slices) {
            remaining -= slice.weight();
            if (remaining < 0) {
                return slice;
            }
        }
        return slices.getLast();
    }
}
