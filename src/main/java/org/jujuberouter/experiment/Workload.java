package org.jujuberouter.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.jujuberouter.routing.PromptBlocks;

/**
 * Arrivals of a mix of requests.
 *
 * <p>A prompt consists of the customer's system prompt, a document and a question. Customers ask several questions about
 * the same document, which is what a prefix cache serves. Arrivals are a Poisson process.
 */
public final class Workload {
    private static final int BLOCK_TOKENS = 256;
    private static final int SYSTEM_BLOCKS = 4;
    private static final int CUSTOMERS = 10;
    private static final int RECENT_DOCUMENTS = 12;
    private static final int MAX_QUESTION_TOKENS = 200;
    private static final int MAX_ANSWER_TOKENS = 1024;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Mix mix;
    private final SplittableRandom random;
    private final double ratePerSecond;
    private final List<List<Document>> recent = new ArrayList<>();
    private long nanos;
    private long nextContent = 1;

    private record Document(int kind, long[] contents) {}

    /**
     * A request that arrives.
     *
     * @param nanos when
     * @param promptTokens length of the prompt
     * @param answerTokens length of the answer
     * @param maxAnswerTokens the bound that the caller states
     * @param blocks the prompt's chain
     */
    public record Arrival(long nanos, long promptTokens, int answerTokens, int maxAnswerTokens, long[] blocks) {}

    /** The mixes; one prompt in fifty has more than 100,000 tokens in each. */
    public enum Mix {
        /** Egg-tray returns: manifests, season ledgers and return histories; 25 engines. */
        SAHAKORN(25, 0.8, new double[] {0.85, 0.13, 0.02}, new double[] {3_000, 12_000}, new double[] {0.4, 0.75}),
        /** Permit assistant: quick questions and dossier reviews; 15 engines. */
        PAMPLEMOUSSES(15, 0.8, new double[] {0.88, 0.10, 0.02}, new double[] {1_200, 20_000}, new double[] {0.3, 0.8}),
        /** A twentieth of the size to design for: 70 of 1,400 engines and 255 of 5,100 requests a second. */
        DESIGN(70, 3.64, new double[] {0.78, 0.20, 0.02}, new double[] {2_000, 4_000}, new double[] {0.4, 0.7});

        private final int engines;
        private final double requestsPerEngineSecond;
        private final double[] parts;
        private final double[] medians;
        private final double[] reuse;

        Mix(int engines, double requestsPerEngineSecond, double[] parts, double[] medians, double[] reuse) {
            this.engines = engines;
            this.requestsPerEngineSecond = requestsPerEngineSecond;
            this.parts = parts;
            this.medians = medians;
            this.reuse = reuse;
        }

        /** Returns the number of engines. */
        public int engines() {
            return engines;
        }
    }

    private static final int LONG_KIND = 2;
    private static final double LENGTH_SIGMA = 0.9;
    private static final double LONG_LEAST = 100_000;
    private static final double LONG_MOST = 1_000_000;
    /** Exponent of the truncated Pareto distribution of long prompts; their mean is about 165,000 tokens. */
    private static final double LONG_ALPHA = 2.5;

    private static final double LONG_REUSE = 0.75;
    private static final double MEAN_ANSWER = 350;

    private Workload(Mix mix, long seed) {
        this.mix = mix;
        this.random = new SplittableRandom(seed);
        this.ratePerSecond = mix.engines * mix.requestsPerEngineSecond;
        for (int i = 0; i < CUSTOMERS; i++) {
            recent.add(new ArrayList<>());
        }
    }

    /** Returns the first arrivals of a mix. */
    public static List<Arrival> of(Mix mix, long seed, int requests) {
        Workload workload = new Workload(mix, seed);
        List<Arrival> arrivals = new ArrayList<>(requests);
        for (int i = 0; i < requests; i++) {
            arrivals.add(workload.next());
        }
        return arrivals;
    }

    private Arrival next() {
        nanos += (long) (-Math.log(1 - random.nextDouble()) / ratePerSecond * NANOS_PER_SECOND);
        // A few customers are large: customer k sends a part that falls with the square of k.
        int customer = (int) (CUSTOMERS * Math.pow(random.nextDouble(), 2));
        Document document = document(customer, kind());
        int question = 20 + random.nextInt(MAX_QUESTION_TOKENS);
        long prompt = (long) (SYSTEM_BLOCKS + document.contents.length) * BLOCK_TOKENS + question;
        long[] contents = new long[SYSTEM_BLOCKS + document.contents.length];
        for (int i = 0; i < SYSTEM_BLOCKS; i++) {
            contents[i] = -1 - (long) customer * SYSTEM_BLOCKS - i;
        }
        System.arraycopy(document.contents, 0, contents, SYSTEM_BLOCKS, document.contents.length);
        int answer = (int) Math.clamp(-Math.log(1 - random.nextDouble()) * MEAN_ANSWER, 1, MAX_ANSWER_TOKENS);
        return new Arrival(nanos, prompt, answer, MAX_ANSWER_TOKENS, PromptBlocks.ofContents(contents));
    }

    private int kind() {
        double r = random.nextDouble();
        return r < mix.parts[0] ? 0 : r < mix.parts[0] + mix.parts[1] ? 1 : LONG_KIND;
    }

    private Document document(int customer, int kind) {
        List<Document> known =
                recent.get(customer).stream().filter(d -> d.kind == kind).toList();
        double reuse = kind == LONG_KIND ? LONG_REUSE : mix.reuse[kind];
        if (!known.isEmpty() && random.nextDouble() < reuse) {
            return known.get(random.nextInt(known.size()));
        }
        double tokens = kind == LONG_KIND ? paretoLength() : mix.medians[kind] * Math.exp(LENGTH_SIGMA * gaussian());
        if (kind != LONG_KIND) {
            tokens = Math.min(tokens, LONG_LEAST - SYSTEM_BLOCKS * BLOCK_TOKENS - MAX_QUESTION_TOKENS);
        }
        long[] contents = new long[(int) Math.max(0, tokens / BLOCK_TOKENS - SYSTEM_BLOCKS)];
        for (int i = 0; i < contents.length; i++) {
            contents[i] = nextContent++;
        }
        Document created = new Document(kind, contents);
        remember(recent.get(customer), created);
        return created;
    }

    private void remember(List<Document> documents, Document created) {
        documents.add(created);
        long sameKind = documents.stream().filter(d -> d.kind == created.kind).count();
        if (sameKind > RECENT_DOCUMENTS) {
            documents.remove(documents.stream()
                    .filter(d -> d.kind == created.kind)
                    .findFirst()
                    .orElseThrow());
        }
    }

    private double paretoLength() {
        double tail = Math.pow(LONG_LEAST / LONG_MOST, LONG_ALPHA);
        return LONG_LEAST / Math.pow(1 - random.nextDouble() * (1 - tail), 1 / LONG_ALPHA)
                + SYSTEM_BLOCKS * BLOCK_TOKENS;
    }

    private double gaussian() {
        double u = 1 - random.nextDouble();
        return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * random.nextDouble());
    }
}
