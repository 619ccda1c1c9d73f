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
 * Checks what is common to all requests, in the order in which a check is cheap: method, readiness, customer, deadline,
 * idempotency key, and last the size while the body is read.
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

    /** What the instance's settings say about callers. */
    interface CallerPolicy {
        /** Throws when the instance takes no new work. */
        void requireReady() throws JujuberouterException;

        /** Returns the customer that has the key. */
        Optional<CustomerId> customerOf(String key);

        /** Returns the deadline of requests that name none. */
        Duration defaultDeadline(CustomerId customer);

        /** Returns the longest deadline. */
        Duration maxDeadline(CustomerId customer);
    }

    /**
     * A request that passed the checks.
     *
     * @param sequence counts the requests of this run of the process
     * @param id the id of the request
     * @param customer who sent it
     * @param body the whole body
     * @param key the idempotency key, if any
     * @param deadlineNanos the deadline on the instance's ticker
     * @param arrivedNanos the arrival on the instance's ticker
     * @param ticker the instance's ticker
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
        /** Returns the time until the deadline, at least one millisecond. */
        Duration timeLeft() {
            return Duration.ofNanos(Math.max(1_000_000L, deadlineNanos - ticker.nanos()));
        }

        Duration deadline() {
            return Duration.ofNanos(deadlineNanos - arrivedNanos);
        }
    }

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
            // Reported below together with values out of range.
        }
        throw JujuberouterException.badParameter(
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
            throw JujuberouterException.badParameter(
                    ErrorKind.INVALID_PARAMETER,
                    "Idempotency-Key",
                    "Idempotency-Key",
                    "1 to " + MAX_KEY_LENGTH + " visible characters are expected");
        }
        return Optional.of(IdempotencyKey.of(key));
    }
}
