package org.jujuberouter.report;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * A service-level objective: the share of requests that must be good by one measure.
 *
 * @param measure the measure that decides whether a request is good
 * @param limitMs the time in milliseconds up to which a request is good; 0 for availability
 * @param share the share that must be good, above 0 and below 1
 */
public record Objective(Measure measure, double limitMs, double share) {
    /**
     * The latency objectives for the design size, and an availability that permits one failure in a thousand requests.
     */
    public static final List<Objective> DEFAULTS = List.of(
            new Objective(Measure.FIRST_TOKEN, 1200, 0.95),
            new Objective(Measure.BETWEEN_TOKENS, 43, 0.95),
            new Objective(Measure.AVAILABILITY, 0, 0.999));

    /** The measures of a request. */
    public enum Measure {
        /** The time to the first token of a streamed response. */
        FIRST_TOKEN("first-token"),
        /** The 95th percentile of the times between the events of a response. */
        BETWEEN_TOKENS("between-tokens"),
        /** Whether the complete and correct response arrived. */
        AVAILABILITY("availability");

        private final String text;

        Measure(String text) {
            this.text = text;
        }

        /** Returns the name used in options and results. */
        public String text() {
            return text;
        }
    }

    /** Parses an objective such as {@code first-token=1200@0.95} or {@code availability=0.999}. */
    public static Objective parse(String text) throws ReportException {
        try {
            String[] parts = text.split("=", 2);
            Measure measure = Arrays.stream(Measure.values())
                    .filter(m -> m.text.equals(parts[0]))
                    .findFirst()
                    .orElseThrow(() -> new IllegalArgumentException("unknown measure"));
            boolean hasLimit = measure != Measure.AVAILABILITY;
            String[] numbers = parts[1].split("@", 2);
            double limit = hasLimit ? Double.parseDouble(numbers[0]) : 0;
            double share = Double.parseDouble(numbers[hasLimit ? 1 : 0]);
            if (!(share > 0 && share < 1) || !(limit > 0) && hasLimit) {
                throw new IllegalArgumentException("the share must be between 0 and 1 and the limit above 0");
            }
            return new Objective(measure, limit, share);
        } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException e) {
            throw ReportException.of("objective \"" + text + "\" does not have the form first-token=MS@SHARE,"
                    + " between-tokens=MS@SHARE or availability=SHARE");
        }
    }

    /** Returns the share of requests that may be bad. */
    public double budget() {
        return 1 - share;
    }

    /** Returns whether the request is good, or empty if the objective does not apply to it. */
    Optional<Boolean> evaluate(RequestRecord request) {
        // Invalid requests and requests above the caller's own limit do not spend the budget.
        if (request.status() >= 400 && request.status() < 500) {
            return Optional.empty();
        }
        return switch (measure) {
            case AVAILABILITY -> Optional.of(request.succeeded());
            case FIRST_TOKEN ->
                "stream".equals(request.kind())
                        ? Optional.of(request.firstMs() >= 0 && request.firstMs() <= limitMs)
                        : Optional.empty();
            case BETWEEN_TOKENS -> request.gapMs() >= 0 ? Optional.of(request.gapMs() <= limitMs) : Optional.empty();
        };
    }

    @Override
    public String toString() {
        return measure == Measure.AVAILABILITY
                ? String.format(Locale.ROOT, "availability: %.2f %% answered whole", share * 100)
                : String.format(Locale.ROOT, "%s: %.4g %% within %.0f ms", measure.text, share * 100, limitMs);
    }
}
