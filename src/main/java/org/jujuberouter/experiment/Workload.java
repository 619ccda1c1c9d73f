package org.jujuberouter.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.jujuberouter.routing.PromptBlocks;

/**
 * Generates the arrivals of a traffic mix.
 *
 * <p>A prompt consists of the customer's system prompt, a document and a question. Customers ask several questions
 * about the same document, so that prompts share prefixes that engines can cache. Arrivals form a Poisson process.
 */
public final class Workload {
    private static final int BLOCK_TOKENS = 256;
    private static final int SYSTEM_PROMPT_BLOCKS = 4;
    private static final int CUSTOMERS = 10;
    private static final int MAX_RECENT_DOCUMENTS = 12;
    private static final int MAX_QUESTION_TOKENS = 200;
    private static final int MAX_ANSWER_TOKENS = 1024;
    private static final double NANOS_PER_SECOND = 1e9;

    private final TrafficMix mix;
    private final SplittableRandom random;
    private final double ratePerSecond;
    private final List<List<Document>> recentDocuments = new ArrayList<>();
    private long nanos;
    private long nextBlockContent = 1;

    private record Document(int lengthClass, long[] blockContents) {}

    /**
     * The arrival of one request.
     *
     * @param nanos virtual time of the arrival
     * @param promptTokens length of the prompt in tokens
     * @param answerTokens length of the generated answer in tokens
     * @param maxAnswerTokens maximum answer length that the caller states
     * @param blocks hash chain of the prompt's blocks, see {@link PromptBlocks}
     */
    public record Arrival(long nanos, long promptTokens, int answerTokens, int maxAnswerTokens, long[] blocks) {}

    /** Traffic mixes. In each of them 2% of the prompts have more than 100,000 tokens. */
    public enum TrafficMix {
        /** Egg-tray returns: manifests, season ledgers and return histories, on 25 engines. */
        SAHAKORN(25, 0.8, new double[] {0.85, 0.13, 0.02}, new double[] {3_000, 12_000}, new double[] {0.4, 0.75}),
        /** Permit assistant: short questions and reviews of dossiers, on 15 engines. */
        PAMPLEMOUSSES(15, 0.8, new double[] {0.88, 0.10, 0.02}, new double[] {1_200, 20_000}, new double[] {0.3, 0.8}),
        /** 5% of the design load: 70 of 1,400 engines and 255 of 5,100 requests per second. */
        DESIGN(70, 3.64, new double[] {0.78, 0.20, 0.02}, new double[] {2_000, 4_000}, new double[] {0.4, 0.7});

        private final int engines;
        private final double requestsPerEngineSecond;
        private final double[] classShares;
        private final double[] medianTokens;
        private final double[] reuseProbabilities;

        TrafficMix(
                int engines,
                double requestsPerEngineSecond,
                double[] classShares,
                double[] medianTokens,
                double[] reuseProbabilities) {
            this.engines = engines;
            this.requestsPerEngineSecond = requestsPerEngineSecond;
            this.classShares = classShares;
            this.medianTokens = medianTokens;
            this.reuseProbabilities = reuseProbabilities;
        }

        public int engines() {
            return engines;
        }
    }

    /** Length class of long documents; 0 and 1 are those of short and medium documents. */
    private static final int LONG_CLASS = 2;

    private static final double LENGTH_SIGMA = 0.9;
    private static final double MIN_LONG_TOKENS = 100_000;
    private static final double MAX_LONG_TOKENS = 1_000_000;
    /** Shape of the truncated Pareto distribution of long prompts, whose mean is about 165,000 tokens. */
    private static final double LONG_PARETO_ALPHA = 2.5;

    private static final double LONG_REUSE_PROBABILITY = 0.75;
    private static final double MEAN_ANSWER_TOKENS = 350;

    private Workload(TrafficMix mix, long seed) {
        this.mix = mix;
        this.random = new SplittableRandom(seed);
        this.ratePerSecond = mix.engines * mix.requestsPerEngineSecond;
        for (int i = 0; i < CUSTOMERS; i++) {
            recentDocuments.add(new ArrayList<>());
        }
    }

    /** Returns the given number of arrivals of a mix, in order of time. */
    public static List<Arrival> generate(TrafficMix mix, long seed, int requests) {
        Workload workload = new Workload(mix, seed);
        List<Arrival> arrivals = new ArrayList<>(requests);
        for (int i = 0; i < requests; i++) {
            arrivals.add(workload.nextArrival());
        }
        return arrivals;
    }

    private Arrival nextArrival() {
        nanos += (long) (-Math.log(1 - random.nextDouble()) / ratePerSecond * NANOS_PER_SECOND);
        // Squaring the random number skews traffic towards few customers: the first sends about 32% of the requests.
        int customer = (int) (CUSTOMERS * Math.pow(random.nextDouble(), 2));
        Document document = nextDocument(customer, nextLengthClass());
        int questionTokens = 20 + random.nextInt(MAX_QUESTION_TOKENS);
        long promptTokens =
                (long) (SYSTEM_PROMPT_BLOCKS + document.blockContents.length) * BLOCK_TOKENS + questionTokens;
        long[] blockContents = new long[SYSTEM_PROMPT_BLOCKS + document.blockContents.length];
        for (int i = 0; i < SYSTEM_PROMPT_BLOCKS; i++) {
            blockContents[i] = -1 - (long) customer * SYSTEM_PROMPT_BLOCKS - i;
        }
        System.arraycopy(document.blockContents, 0, blockContents, SYSTEM_PROMPT_BLOCKS, document.blockContents.length);
        int answerTokens =
                (int) Math.clamp(-Math.log(1 - random.nextDouble()) * MEAN_ANSWER_TOKENS, 1, MAX_ANSWER_TOKENS);
        return new Arrival(
                nanos, promptTokens, answerTokens, MAX_ANSWER_TOKENS, PromptBlocks.ofContents(blockContents));
    }

    private int nextLengthClass() {
        double draw = random.nextDouble();
        return draw < mix.classShares[0] ? 0 : draw < mix.classShares[0] + mix.classShares[1] ? 1 : LONG_CLASS;
    }

    private Document nextDocument(int customer, int lengthClass) {
        List<Document> reusable = recentDocuments.get(customer).stream()
                .filter(document -> document.lengthClass == lengthClass)
                .toList();
        double reuseProbability =
                lengthClass == LONG_CLASS ? LONG_REUSE_PROBABILITY : mix.reuseProbabilities[lengthClass];
        if (!reusable.isEmpty() && random.nextDouble() < reuseProbability) {
            return reusable.get(random.nextInt(reusable.size()));
        }
        double tokens = lengthClass == LONG_CLASS
                ? nextLongTokens()
                : mix.medianTokens[lengthClass] * Math.exp(LENGTH_SIGMA * nextGaussian());
        if (lengthClass != LONG_CLASS) {
            tokens = Math.min(tokens, MIN_LONG_TOKENS - SYSTEM_PROMPT_BLOCKS * BLOCK_TOKENS - MAX_QUESTION_TOKENS);
        }
        long[] blockContents = new long[(int) Math.max(0, tokens / BLOCK_TOKENS - SYSTEM_PROMPT_BLOCKS)];
        for (int i = 0; i < blockContents.length; i++) {
            blockContents[i] = nextBlockContent++;
        }
        Document created = new Document(lengthClass, blockContents);
        addRecent(recentDocuments.get(customer), created);
        return created;
    }

    private void addRecent(List<Document> documents, Document created) {
        documents.add(created);
        long sameClassDocuments = documents.stream()
                .filter(document -> document.lengthClass == created.lengthClass)
                .count();
        if (sameClassDocuments > MAX_RECENT_DOCUMENTS) {
            documents.remove(documents.stream()
                    .filter(document -> document.lengthClass == created.lengthClass)
                    .findFirst()
                    .orElseThrow());
        }
    }

    private double nextLongTokens() {
        double tail = Math.pow(MIN_LONG_TOKENS / MAX_LONG_TOKENS, LONG_PARETO_ALPHA);
        return MIN_LONG_TOKENS / Math.pow(1 - random.nextDouble() * (1 - tail), 1 / LONG_PARETO_ALPHA)
                + SYSTEM_PROMPT_BLOCKS * BLOCK_TOKENS;
    }

    private double nextGaussian() {
        double u = 1 - random.nextDouble();
        return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * random.nextDouble());
    }
}
