package org.jujuberouter.entry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.jujuberouter.error.ErrorKind;
import org.jujuberouter.error.JujuberouterException;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.IdempotencyKey;
import org.jujuberouter.id.Incarnation;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.misc.Ticker;

/**
 * Validates what all requests have in common, cheapest check first: method, readiness, API key, deadline, idempotency
 * key, and finally the size of the body while it is read.
 */
final class RequestValidator {
    static final String DEADLINE_HEADER = "Jujuberouter-Deadline-Ms";
    static final String REQUEST_ID_HEADER = "Jujuberouter-Request-Id";

    private static final String BEARER = "Bearer ";
    private static final int MAX_KEY_LENGTH = 255;

    private final Supplier<Incarnation> self;
    private final Ticker ticker;
    private final int maxBodyBytes;
    private final CallerPolicy policy;
    private final AtomicLong lastSequence = new AtomicLong();

    private RequestValidator(Supplier<Incarnation> self, Ticker ticker, int maxBodyBytes, CallerPolicy policy) {
        this.self = self;
        this.ticker = ticker;
        this.maxBodyBytes = maxBodyBytes;
        this.policy = policy;
    }

    static RequestValidator create(Supplier<Incarnation> self, Ticker ticker, int maxBodyBytes, CallerPolicy policy) {
        return new RequestValidator(self, ticker, maxBodyBytes, policy);
    }

    /** The readiness of the instance and its settings for callers. */
    interface CallerPolicy {
        /** Throws if the instance accepts no new requests. */
        void requireReady() throws JujuberouterException;

        /** Returns the customer that the API key belongs to. */
        Optional<CustomerId> customerOf(String key);

        /** Returns the deadline for requests that specify none. */
        Duration defaultDeadline(CustomerId customer);

        /** Returns the longest deadline that a request may specify. */
        Duration maxDeadline(CustomerId customer);
    }

    /**
     * A request that passed validation.
     *
     * @param sequence the number of the request since the process started
     * @param id the id of the request
     * @param customer the customer that sent it
     * @param body the complete body
     * @param key the idempotency key, if any
     * @param deadlineNanos the deadline as a time of {@code ticker}
     * @param arrivedNanos the time of arrival as a time of {@code ticker}
     * @param ticker the instance's clock
     */
    record ValidatedRequest(
            long sequence,
            RequestId id,
            CustomerId customer,
            byte[] body,
            Optional<IdempotencyKey> key,
            long deadlineNanos,
            long arrivedNanos,
            Ticker ticker) {
        /** Returns the time left until the deadline, at least one millisecond. */
        Duration timeLeft() {
            return Duration.ofNanos(Math.max(1_000_000L, deadlineNanos - ticker.nanos()));
        }

        Duration deadline() {
            return Duration.ofNanos(deadlineNanos - arrivedNanos);
        }
    }

    /**
     * Validates a request and reads its body.
     *
     * @param method the only method allowed, or null to allow all
     */
    ValidatedRequest validate(CallerExchange exchange, String method) throws JujuberouterException {
        long arrived = ticker.nanos();
        long sequence = lastSequence.incrementAndGet();
        RequestId id = new RunId(self.get(), sequence, 0).toRequestId();
        exchange.setHeader(REQUEST_ID_HEADER, id.value());
        if (method != null && !exchange.method().equals(method)) {
            throw JujuberouterException.notRun(ErrorKind.METHOD_NOT_ALLOWED, exchange.method(), exchange.path());
        }
        policy.requireReady();
        CustomerId customer = authenticate(exchange);
        Duration deadline = deadline(exchange, customer);
        Optional<IdempotencyKey> key = key(exchange);
        byte[] body = exchange.readBody(maxBodyBytes);
        return new ValidatedRequest(sequence, id, customer, body, key, arrived + deadline.toNanos(), arrived, ticker);
    }

    private CustomerId authenticate(CallerExchange exchange) throws JujuberouterException {
        return exchange.header("Authorization")
                .filter(h -> h.startsWith(BEARER))
                .map(h -> h.substring(BEARER.length()).trim())
                .flatMap(policy::customerOf)
                .orElseThrow(() -> JujuberouterException.notRun(ErrorKind.UNAUTHORIZED));
    }

    private Duration deadline(CallerExchange exchange, CustomerId customer) throws JujuberouterException {
        Optional<String> text = exchange.header(DEADLINE_HEADER);
        if (text.isEmpty()) {
            return policy.defaultDeadline(customer);
        }
        long max = policy.maxDeadline(customer).toMillis();
        try {
            long ms = Long.parseLong(text.get().trim());
            if (ms >= 1 && ms <= max) {
                return Duration.ofMillis(ms);
            }
        } catch (NumberFormatException e) {
            // Reported below, like values out of range.
        }
        throw JujuberouterException.invalidParameter(
                ErrorKind.INVALID_PARAMETER,
                DEADLINE_HEADER,
                DEADLINE_HEADER,
                "a whole number of milliseconds from 1 to " + max + " is expected, not \"" + text.get() + "\"");
    }

    private static Optional<IdempotencyKey> key(CallerExchange exchange) throws JujuberouterException {
        Optional<String> text = exchange.header("Idempotency-Key");
        if (text.isEmpty()) {
            return Optional.empty();
        }
        String key = text.get();
        boolean visible = key.chars().allMatch(c -> c > ' ' && c < 127);
        if (key.isEmpty() || key.length() > MAX_KEY_LENGTH || !visible) {
            throw JujuberouterException.invalidParameter(
                    ErrorKind.INVALID_PARAMETER,
                    "Idempotency-Key",
                    "Idempotency-Key",
                    "1 to " + MAX_KEY_LENGTH + " visible characters are expected");
        }
        return Optional.of(IdempotencyKey.of(key));
    }
}
