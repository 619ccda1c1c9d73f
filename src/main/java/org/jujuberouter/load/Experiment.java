package org.jujuberouter.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

/**
 * Definition of a load run. The complete trace is planned before the first request is sent.
 *
 * @param name name in results
 * @param seconds duration during which requests start
 * @param arrivals arrival process of the requests
 * @param mix distribution of request kinds and lengths
 * @param shape behavior of the callers
 */
public record Experiment(String name, double seconds, Arrivals arrivals, RequestMix mix, CallerProfile shape) {
    private static final int MAX_RESEND_DELAY_MILLIS = 2000;
    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /**
     * Behavior of the callers.
     *
     * @param customers names of the customers; the i-th has the weight 1/i, so that a few send most of the requests
     * @param prefixGroups number of groups of prompts that share a prefix
     * @param prefixShare fraction of prompts that start with a shared prefix
     * @param slowShare fraction of completions whose caller reads slowly
     * @param slowBytesPerSecond read rate of a slow caller
     * @param resendShare fraction of calls with an idempotency key that are retried once with the same key
     * @param unkeyedShare fraction of POST requests without an idempotency key
     * @param deadlineMs deadline of each request
     */
    public record CallerProfile(
            List<String> customers,
            int prefixGroups,
            double prefixShare,
            double slowShare,
            int slowBytesPerSecond,
            double resendShare,
            double unkeyedShare,
            long deadlineMs) {
        /** Default behavior, which approximates the callers of the trays and permits workloads. */
        public static final CallerProfile DEFAULT = new CallerProfile(
                IntStream.rangeClosed(1, 10).mapToObj(i -> "customer-" + i).toList(),
                20,
                0.6,
                0.1,
                4_000,
                0.1,
                0.1,
                60_000);

        /** Makes a defensive copy of the customers. */
        public CallerProfile {
            customers = List.copyOf(customers);
        }
    }

    /** Reads the experiments of an experiment file; docs/load.md describes its format. */
    public static List<Experiment> readAll(Path file) throws IOException, InvalidWorkloadException {
        ExperimentFile root;
        try {
            root = JSON.readValue(Files.readString(file), ExperimentFile.class);
        } catch (JsonProcessingException e) {
            throw InvalidWorkloadException.of(
                    "%s, line %d, column %d: %s",
                    file,
                    e.getLocation() == null ? 0 : e.getLocation().getLineNr(),
                    e.getLocation() == null ? 0 : e.getLocation().getColumnNr(),
                    e.getOriginalMessage());
        }
        if (root == null || root.experiments == null || root.experiments.isEmpty()) {
            throw InvalidWorkloadException.of("%s: \"experiments\" is missing or empty", file);
        }
        List<Experiment> experiments = new ArrayList<>();
        for (ExperimentEntry entry : root.experiments) {
            experiments.add(entry.toExperiment(file));
        }
        return experiments;
    }

    /** Generates the trace of the run; the same seed gives the same trace. */
    public Trace plan(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<TraceEntry> entries = new ArrayList<>();
        int keyCount = 0;
        for (long offset : arrivals.offsets(seconds, random.split())) {
            RequestMix.Slice slice = mix.sample(random);
            boolean keyed = slice.kind() == RequestKind.POST && random.nextDouble() >= shape.unkeyedShare;
            String key = keyed ? String.format("k%x-%d", seed, keyCount++) : "";
            TraceEntry entry = createEntry(offset, slice, key, random);
            entries.add(entry);
            if (keyed && random.nextDouble() < shape.resendShare) {
                entries.add(entry.withOffset(offset + random.nextInt(1, MAX_RESEND_DELAY_MILLIS)));
            }
        }
        entries.sort(Comparator.comparingLong(TraceEntry::offsetMs));
        return new Trace(seed, entries);
    }

    private TraceEntry createEntry(long offset, RequestMix.Slice slice, String key, RandomGenerator random) {
        boolean completion = slice.kind().isCompletion();
        boolean sharedPrefix = completion && random.nextDouble() < shape.prefixShare;
        boolean slowReader = completion && random.nextDouble() < shape.slowShare;
        return new TraceEntry(
                offset,
                sampleCustomer(random),
                slice.service(),
                slice.path(),
                slice.kind(),
                slice.promptTokens(random),
                sharedPrefix ? "g" + random.nextInt(Math.max(1, shape.prefixGroups)) : "",
                slice.answerTokens(random),
                shape.deadlineMs,
                key,
                slowReader ? shape.slowBytesPerSecond : 0);
    }

    private String sampleCustomer(RandomGenerator random) {
        int count = shape.customers.size();
        double remaining = random.nextDouble()
                * IntStream.rangeClosed(1, count).mapToDouble(i -> 1.0 / i).sum();
        for (int i = 1; i < count; i++) {
            remaining -= 1.0 / i;
            if (remaining < 0) {
                return shape.customers.get(i - 1);
            }
        }
        return shape.customers.getLast();
    }

    /** Root object of an experiment file. */
    private record ExperimentFile(List<ExperimentEntry> experiments) {}

    /** Experiment in an experiment file; absent fields of its shape have their default values. */
    private record ExperimentEntry(
            String name,
            Double seconds,
            String mix,
            List<RequestMix.Slice> slices,
            Double rate,
            List<Arrivals.Step> steps,
            Integer burstSize,
            Double burstEverySeconds,
            ObjectNode shape) {
        Experiment toExperiment(Path file) throws InvalidWorkloadException {
            if (name == null || seconds == null || seconds <= 0) {
                throw InvalidWorkloadException.of("%s: an experiment has no \"name\" or no positive \"seconds\"", file);
            }
            if ((mix == null) == (slices == null)) {
                throw InvalidWorkloadException.of(
                        "%s: experiment \"%s\" needs either \"mix\" or \"slices\"", file, name);
            }
            RequestMix requestMix = mix != null ? RequestMix.named(mix) : new RequestMix(slices);
            return new Experiment(name, seconds, arrivals(file), requestMix, shape(file));
        }

        private CallerProfile shape(Path file) throws InvalidWorkloadException {
            ObjectNode merged = JSON.valueToTree(CallerProfile.DEFAULT);
            if (shape != null) {
                merged.setAll(shape);
            }
            if (merged.path("customers").isEmpty()) {
                throw InvalidWorkloadException.of("%s: experiment \"%s\" has no customers", file, name);
            }
            try {
                return JSON.treeToValue(merged, CallerProfile.class);
            } catch (JsonProcessingException e) {
                throw InvalidWorkloadException.of(
                        "%s: shape of experiment \"%s\": %s", file, name, e.getOriginalMessage());
            }
        }

        private Arrivals arrivals(Path file) throws InvalidWorkloadException {
            if (steps != null) {
                return new Arrivals.Steps(steps);
            }
            if (rate == null) {
                throw InvalidWorkloadException.of("%s: experiment \"%s\" needs \"rate\" or \"steps\"", file, name);
            }
            if (burstSize == null) {
                return new Arrivals.Poisson(rate);
            }
            if (burstEverySeconds == null || burstEverySeconds <= 0) {
                throw InvalidWorkloadException.of(
                        "%s: experiment \"%s\" needs \"burstEverySeconds\" above 0", file, name);
            }
            return new Arrivals.Bursts(rate, burstSize, burstEverySeconds);
        }
    }
}
