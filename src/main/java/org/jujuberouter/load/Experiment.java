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
 * One load to run, from which a trace is planned before the first request starts.
 *
 * @param name the name in results
 * @param seconds how long requests start
 * @param arrivals when they start
 * @param mix what they are
 * @param shape how callers behave
 */
public record Experiment(String name, double seconds, Arrivals arrivals, RequestMix mix, CallerProfile shape) {
    private static final int MAX_RESEND_MILLIS = 2000;
    private static final JsonMapper JSON = JsonMapper.builder()
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /**
     * How callers behave.
     *
     * @param customers the names of the customers; the i-th has the weight 1/i, so that a few are large
     * @param prefixGroups the number of shared prefixes by service
     * @param prefixShare the share of prompts that start with a shared prefix
     * @param slowShare the share of completions whose caller reads slowly
     * @param slowBytesPerSecond how fast such a caller reads
     * @param resendShare the share of keyed calls that are sent a second time with the same key
     * @param unkeyedShare the share of posts without an idempotency key
     * @param deadlineMs the deadline of each request
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
        /** The shape that both users resemble. */
        public static final CallerProfile DEFAULT = new CallerProfile(
                IntStream.rangeClosed(1, 10).mapToObj(i -> "customer-" + i).toList(),
                20,
                0.6,
                0.1,
                4_000,
                0.1,
                0.1,
                60_000);

        /** Copies the names. */
        public CallerProfile {
            customers = List.copyOf(customers);
        }
    }

    /** Reads the experiments of a settings file; docs/load.md describes it. */
    public static List<Experiment> readAll(Path file) throws IOException, InvalidWorkloadException {
        SettingsFile settings;
        try {
            settings = JSON.readValue(Files.readString(file), SettingsFile.class);
        } catch (JsonProcessingException e) {
            throw InvalidWorkloadException.of(
                    "%s, line %d, column %d: %s",
                    file,
                    e.getLocation() == null ? 0 : e.getLocation().getLineNr(),
                    e.getLocation() == null ? 0 : e.getLocation().getColumnNr(),
                    e.getOriginalMessage());
        }
        if (settings == null || settings.experiments == null || settings.experiments.isEmpty()) {
            throw InvalidWorkloadException.of("%s: \"experiments\" is missing or empty", file);
        }
        List<Experiment> experiments = new ArrayList<>();
        for (Setting setting : settings.experiments) {
            experiments.add(setting.experiment(file));
        }
        return experiments;
    }

    /** Plans all requests; the same seed gives the same trace. */
    public Trace plan(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<TraceEntry> entries = new ArrayList<>();
        int keys = 0;
        for (long offset : arrivals.offsets(seconds, random.split())) {
            RequestMix.Slice slice = mix.draw(random);
            boolean keyed = slice.kind() == RequestKind.POST && random.nextDouble() >= shape.unkeyedShare;
            String key = keyed ? String.format("k%x-%d", seed, keys++) : "";
            TraceEntry entry = entry(offset, slice, key, random);
            entries.add(entry);
            if (keyed && random.nextDouble() < shape.resendShare) {
                entries.add(entry.withOffset(offset + random.nextInt(1, MAX_RESEND_MILLIS)));
            }
        }
        entries.sort(Comparator.comparingLong(TraceEntry::offsetMs));
        return new Trace(seed, entries);
    }

    private TraceEntry entry(long offset, RequestMix.Slice slice, String key, RandomGenerator random) {
        boolean completion = slice.kind().isCompletion();
        boolean shared = completion && random.nextDouble() < shape.prefixShare;
        boolean slow = completion && random.nextDouble() < shape.slowShare;
        return new TraceEntry(
                offset,
                customer(random),
                slice.service(),
                slice.path(),
                slice.kind(),
                slice.promptTokens(random),
                shared ? "g" + random.nextInt(Math.max(1, shape.prefixGroups)) : "",
                slice.answerTokens(random),
                shape.deadlineMs,
                key,
                slow ? shape.slowBytesPerSecond : 0);
    }

    private String customer(RandomGenerator random) {
        int count = shape.customers.size();
        double left = random.nextDouble()
                * IntStream.rangeClosed(1, count).mapToDouble(i -> 1.0 / i).sum();
        for (int i = 1; i < count; i++) {
            left -= 1.0 / i;
            if (left < 0) {
                return shape.customers.get(i - 1);
            }
        }
        return shape.customers.getLast();
    }

    /** The root of a settings file. */
    private record SettingsFile(List<Setting> experiments) {}

    /** An experiment in a settings file; what is absent has the usual value. */
    private record Setting(
            String name,
            Double seconds,
            String mix,
            List<RequestMix.Slice> slices,
            Double rate,
            List<Arrivals.Step> steps,
            Integer burstSize,
            Double burstEverySeconds,
            ObjectNode shape) {
        Experiment experiment(Path file) throws InvalidWorkloadException {
            if (name == null || seconds == null || seconds <= 0) {
                throw InvalidWorkloadException.of("%s: an experiment lacks \"name\" or a positive \"seconds\"", file);
            }
            if ((mix == null) == (slices == null)) {
                throw InvalidWorkloadException.of(
                        "%s: experiment \"%s\" needs either \"mix\" or \"slices\"", file, name);
            }
            RequestMix parts = mix != null ? RequestMix.named(mix) : new RequestMix(slices);
            return new Experiment(name, seconds, arrivals(file), parts, shape(file));
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
