package org.jujuberouter.load;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * What share of the requests is of which kind and length.
 *
 * <p>Lengths are drawn evenly on a logarithmic scale between the bounds of a slice, because prompts of one purpose spread
 * over a factor rather than over a difference.
 */
public record RequestMix(List<Slice> slices) {
    /** Copies the slices. */
    public RequestMix {
        slices = List.copyOf(slices);
    }

    /** A weighted part of a mix. */
    public record Slice(
            double weight,
            RequestKind kind,
            String service,
            String path,
            int minPrompt,
            int maxPrompt,
            int minAnswer,
            int maxAnswer) {
        private static Slice stream(double weight, int minPrompt, int maxPrompt, int minAnswer, int maxAnswer) {
            return new Slice(weight, RequestKind.STREAM, "assistant", "", minPrompt, maxPrompt, minAnswer, maxAnswer);
        }

        private static Slice call(double weight, RequestKind kind, String service, String path) {
            return new Slice(weight, kind, service, path, 0, 0, 0, 0);
        }

        int promptTokens(RandomGenerator random) {
            return between(minPrompt, maxPrompt, random);
        }

        int answerTokens(RandomGenerator random) {
            return between(minAnswer, maxAnswer, random);
        }

        private static int between(int min, int max, RandomGenerator random) {
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
                        Slice.stream(48, 1_000, 8_000, 32, 256),
                        Slice.stream(14, 8_000, 100_000, 64, 512),
                        Slice.stream(2, 100_000, 1_000_000, 128, 512),
                        Slice.call(14, RequestKind.POST, "ledger", "credits"),
                        Slice.call(22, RequestKind.GET, "ledger", "balances")));
            case "permits" ->
                new RequestMix(List.of(
                        Slice.stream(50, 1_000, 4_000, 16, 128),
                        new Slice(8, RequestKind.COMPLETION, "assistant", "", 1_000, 4_000, 16, 64),
                        Slice.stream(10, 30_000, 100_000, 128, 768),
                        Slice.stream(2, 100_000, 400_000, 256, 768),
                        Slice.call(10, RequestKind.POST, "filing-desk", "filings"),
                        Slice.call(20, RequestKind.GET, "filing-desk", "status")));
            // 1.8 million tokens/s at 5,100 requests/s is 353 tokens an answer; one prompt in fifty exceeds 100,000.
            case "design" ->
                new RequestMix(List.of(
                        Slice.stream(70, 1_000, 10_000, 128, 640),
                        Slice.stream(28, 10_000, 100_000, 256, 1_024),
                        Slice.stream(2, 100_001, 1_000_000, 256, 1_024)));
            default -> throw InvalidWorkloadException.of("no mix \"%s\"; there are trays, permits and design", name);
        };
    }

    Slice draw(RandomGenerator random) {
        double left =
                random.nextDouble() * slices.stream().mapToDouble(Slice::weight).sum();
        for (Slice slice : slices) {
            left -= slice.weight();
            if (left < 0) {
                return slice;
            }
        }
        return slices.getLast();
    }
}
