package org.jujuberouter.memory;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.misc.Ticker;

/**
 * Limits the bytes held for callers per stream, per customer and for the instance.
 *
 * <p>Each open stream has guaranteed bytes at its customer and at the instance, so a stream that holds nothing can
 * always read once: neither a stalled stream nor a stalled customer can block the others. A quarter of each limit is
 * kept for guaranteed bytes; when it is used up, no further streams are opened. The other three quarters are shared.
 *
 * <p>A reservation that does not fit pauses its stream. Freed bytes go to waiting streams first: customers are served
 * in round-robin order with one grant each, and within a customer the longest waiting stream is first. A new
 * reservation never overtakes a waiting one that competes for the same bytes. A customer at its own limit is skipped
 * and does not delay the others.
 *
 * <p>A stream that is paused for 5 s is detached from its engine, which could otherwise not free the connection. It
 * resumes when it has drained below half of what it held.
 *
 * <p>Thread-safe. Wake-ups run after the lock was released, on the thread that freed the bytes.
 */
public final class MemoryBudget {
    /** Time for which a stream may be paused before it is detached from its engine. */
    public static final Duration DETACH_AFTER = Duration.ofSeconds(5);

    /** The lowest limit that leaves room for one stream of a customer. */
    private static final long MIN_CUSTOMER_BYTES = 4L * MemoryLimits.GUARANTEED_BYTES;

    private final MemoryLimits limits;
    private final Ticker ticker;
    private final Map<CustomerId, CustomerAccount> customers = new HashMap<>();
    private final Map<CustomerId, Long> customerLimits = new HashMap<>();
    /** Customers with waiting streams, in round-robin order. */
    private final Deque<CustomerAccount> waitingCustomers = new ArrayDeque<>();

    private int streams;
    private long sharedBytes;
    private long heldBytes;
    /** Whether the next stream to be served waits for shared bytes of the instance. */
    private boolean instanceFull;

    private MemoryBudget(MemoryLimits limits, Ticker ticker) {
        this.limits = limits;
        this.ticker = ticker;
    }

    /** Returns a budget without open streams. */
    public static MemoryBudget of(MemoryLimits limits, Ticker ticker) {
        return new MemoryBudget(limits, ticker);
    }

    /** Sets the limit of one customer. Bytes that it already holds above a lower limit drain as they are written. */
    public void setCustomerLimit(CustomerId customer, long bytes) {
        List<StreamAccount> toWake = new ArrayList<>();
        synchronized (this) {
            long limit = Math.max(bytes, MIN_CUSTOMER_BYTES);
            customerLimits.put(customer, limit);
            CustomerAccount account = customers.get(customer);
            if (account != null) {
                account.limit = limit;
            }
            grantWaiting(toWake);
        }
        toWake.forEach(s -> s.wake.run());
    }

    /**
     * Opens an account for a stream. Returns empty if the bytes kept for guarantees are used up at the customer or the
     * instance; the request is then refused before it is sent.
     *
     * @param wake called when {@link StreamAccount#check} may have a new result; must not block
     */
    public synchronized Optional<StreamAccount> open(CustomerId customer, Runnable wake) {
        CustomerAccount account = customers.get(customer);
        if (account == null) {
            account = new CustomerAccount(customer, customerLimits.getOrDefault(customer, limits.customerBytes()));
        }
        if (streams >= MemoryLimits.maxStreams(limits.instanceBytes())
                || account.streams >= MemoryLimits.maxStreams(account.limit)) {
            return Optional.empty();
        }
        customers.put(customer, account);
        account.streams++;
        streams++;
        return Optional.of(new StreamAccount(this, account, wake));
    }

    /** Returns the bytes held for all streams. */
    public synchronized long heldBytes() {
        return heldBytes;
    }

    /** Returns the guaranteed bytes of open streams plus the shared bytes held; never more than the instance limit. */
    public synchronized long reservedBytes() {
        return (long) streams * MemoryLimits.GUARANTEED_BYTES + sharedBytes;
    }

    /** Returns the bytes held for each customer with an open stream, to help operators find slow readers. */
    public synchronized Map<CustomerId, Long> heldByCustomer() {
        Map<CustomerId, Long> held = new TreeMap<>();
        customers.values().forEach(c -> held.put(c.id, c.heldBytes));
        return held;
    }

    public synchronized int openStreams() {
        return streams;
    }

    synchronized long held(StreamAccount stream) {
        return stream.held;
    }

    synchronized MemoryDecision reserve(StreamAccount stream, int bytes) {
        if (stream.closed) {
            return new MemoryDecision.Closed();
        }
        if (bytes < 1 || bytes > MemoryLimits.GUARANTEED_BYTES) {
            throw new IllegalArgumentException(
                    "reservation of " + bytes + " bytes is out of range 1 to " + MemoryLimits.GUARANTEED_BYTES);
        }
        if (stream.requested > 0) {
            throw new IllegalStateException("the stream is already waiting for " + stream.requested + " bytes");
        }
        if (fits(stream, bytes) && !mustQueue(stream, bytes)) {
            allocate(stream, bytes);
            return new MemoryDecision.Accept();
        }
        stream.requested = bytes;
        stream.heldAtPause = stream.held;
        stream.pausedAtNanos = ticker.nanos();
        enqueueIfReady(stream);
        return new MemoryDecision.Pause(stream.pausedAtNanos + DETACH_AFTER.toNanos());
    }

    MemoryDecision check(StreamAccount stream) {
        List<StreamAccount> toWake = new ArrayList<>();
        MemoryDecision decision;
        synchronized (this) {
            decision = checkLocked(stream);
            if (decision instanceof MemoryDecision.Detach && !stream.hasDrained()) {
                dequeue(stream);
                // Streams that queued behind this one may now fit.
                grantWaiting(toWake);
            }
        }
        toWake.forEach(s -> s.wake.run());
        return decision;
    }

    private MemoryDecision checkLocked(StreamAccount stream) {
        if (stream.closed) {
            return new MemoryDecision.Closed();
        }
        if (stream.granted) {
            stream.granted = false;
            stream.requested = 0;
            stream.detached = false;
            return new MemoryDecision.Accept();
        }
        if (stream.requested == 0) {
            throw new IllegalStateException("the stream has no waiting reservation");
        }
        if (stream.detached) {
            return new MemoryDecision.Pause(Long.MAX_VALUE);
        }
        long detachAt = stream.pausedAtNanos + DETACH_AFTER.toNanos();
        if (ticker.nanos() - detachAt < 0) {
            return new MemoryDecision.Pause(detachAt);
        }
        stream.detached = true;
        return new MemoryDecision.Detach();
    }

    void release(StreamAccount stream, long bytes) {
        List<StreamAccount> toWake = new ArrayList<>();
        synchronized (this) {
            if (stream.closed) {
                // The writer may still release bytes after another thread closed the stream and thereby freed them.
                return;
            }
            if (bytes < 0 || bytes > stream.held) {
                throw new IllegalArgumentException(
                        "cannot release " + bytes + " bytes: the stream holds " + stream.held);
            }
            free(stream, bytes);
            if (isWaiting(stream) && stream.sharedChange(stream.requested) == 0 && stream.hasDrained()) {
                grant(stream, toWake);
            }
            enqueueIfReady(stream);
            grantWaiting(toWake);
        }
        toWake.forEach(s -> s.wake.run());
    }

    void close(StreamAccount stream) {
        List<StreamAccount> toWake = new ArrayList<>();
        synchronized (this) {
            if (stream.closed) {
                return;
            }
            free(stream, stream.held);
            dequeue(stream);
            stream.closed = true;
            streams--;
            if (--stream.customer.streams == 0) {
                customers.remove(stream.customer.id);
            }
            grantWaiting(toWake);
            toWake.add(stream);
        }
        toWake.forEach(s -> s.wake.run());
    }

    private long instanceAvailable() {
        return MemoryLimits.maxShared(limits.instanceBytes()) - sharedBytes;
    }

    private boolean fits(StreamAccount stream, int bytes) {
        long shared = stream.sharedChange(bytes);
        return stream.held + bytes <= limits.streamBytes()
                && (shared == 0 || shared <= stream.customer.available() && shared <= instanceAvailable());
    }

    /** Returns whether a waiting stream competes for the same shared bytes. */
    private boolean mustQueue(StreamAccount stream, int bytes) {
        return stream.sharedChange(bytes) > 0 && (instanceFull || !stream.customer.waiting.isEmpty());
    }

    /**
     * Queues a stream that waits for shared bytes; a stream at its own limit waits until it drains and is not queued.
     */
    private void enqueueIfReady(StreamAccount stream) {
        if (!isWaiting(stream) || !stream.hasDrained() || stream.held + stream.requested > limits.streamBytes()) {
            return;
        }
        CustomerAccount customer = stream.customer;
        if (customer.waiting.isEmpty()) {
            waitingCustomers.addLast(customer);
        }
        customer.waiting.add(stream);
        long shared = stream.sharedChange(stream.requested);
        instanceFull |= shared <= customer.available() && shared > instanceAvailable();
    }

    private static boolean isWaiting(StreamAccount stream) {
        return stream.requested > 0 && !stream.granted;
    }

    private void dequeue(StreamAccount stream) {
        CustomerAccount customer = stream.customer;
        if (customer.waiting.remove(stream) && customer.waiting.isEmpty()) {
            waitingCustomers.remove(customer);
        }
    }

    /** Grants freed bytes to the waiting streams, one per customer in turn. */
    private void grantWaiting(List<StreamAccount> toWake) {
        instanceFull = false;
        int skipped = 0;
        while (skipped < waitingCustomers.size()) {
            CustomerAccount customer = waitingCustomers.getFirst();
            StreamAccount stream = customer.waiting.getFirst();
            long shared = stream.sharedChange(stream.requested);
            if (shared > customer.available()) {
                waitingCustomers.addLast(waitingCustomers.removeFirst());
                skipped++;
            } else if (shared > instanceAvailable()) {
                // The customer keeps its turn: no other stream may reserve the bytes that this one waits for.
                instanceFull = true;
                return;
            } else {
                grant(stream, toWake);
                if (waitingCustomers.peekFirst() == customer) {
                    waitingCustomers.addLast(waitingCustomers.removeFirst());
                }
                skipped = 0;
            }
        }
    }

    private void grant(StreamAccount stream, List<StreamAccount> toWake) {
        dequeue(stream);
        allocate(stream, stream.requested);
        stream.granted = true;
        toWake.add(stream);
    }

    private void allocate(StreamAccount stream, long bytes) {
        long shared = stream.sharedChange(bytes);
        stream.held += bytes;
        stream.customer.heldBytes += bytes;
        stream.customer.sharedBytes += shared;
        sharedBytes += shared;
        heldBytes += bytes;
    }

    private void free(StreamAccount stream, long bytes) {
        long shared = stream.sharedChange(-bytes);
        stream.held -= bytes;
        stream.customer.heldBytes -= bytes;
        stream.customer.sharedBytes += shared;
        sharedBytes += shared;
        heldBytes -= bytes;
    }
}
