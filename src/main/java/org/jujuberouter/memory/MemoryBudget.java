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
 * Bounds the bytes held for callers per stream, customer and instance.
 *
 * <p>Each open stream has a floor set aside at its customer and at the instance, so that a stream that holds nothing can
 * always take one read: neither a stuck stream nor a stuck customer can stop the others. A quarter of each bound is kept for
 * floors, further streams are not opened, and the bytes above the floors share the other three quarters.
 *
 * <p>A reservation that does not fit pauses its stream. Freed bytes go to the waiting streams first: one grant per customer
 * in turn, and the longest waiting stream within a customer. A new reservation never passes a waiting one that competes for
 * the same room. A customer at its own bound is passed over and does not hold up the others.
 *
 * <p>A stream paused for 5 s is detached from its engine, which could otherwise not free the connection. It resumes when it
 * has drained below half of what it held.
 *
 * <p>Thread-safe; wake-ups run after the lock was released, on the thread that freed the bytes.
 */
public final class MemoryBudget {
    /** How long a stream may be paused before it is detached from its engine. */
    public static final Duration DETACH_AFTER = Duration.ofSeconds(5);

    /** A lower customer bound than this would leave no room for a single stream. */
    private static final long MIN_CUSTOMER_BYTES = 4L * MemoryLimits.GUARANTEED_BYTES;

    private final MemoryLimits bounds;
    private final Ticker ticker;
    private final Map<CustomerId, CustomerAccount> customers = new HashMap<>();
    private final Map<CustomerId, Long> customerBounds = new HashMap<>();
    /** Customers with waiting streams, in the order of their turns. */
    private final Deque<CustomerAccount> turns = new ArrayDeque<>();

    private int streams;
    private long sharedBytes;
    private long heldBytes;
    /** Whether the stream whose turn it is waits for room at the instance. */
    private boolean instanceFull;

    private MemoryBudget(MemoryLimits bounds, Ticker ticker) {
        this.bounds = bounds;
        this.ticker = ticker;
    }

    /** Returns an empty ledger. */
    public static MemoryBudget of(MemoryLimits bounds, Ticker ticker) {
        return new MemoryBudget(bounds, ticker);
    }

    /** Sets the bound of one customer. What it holds beyond a lower bound drains as it is written. */
    public void setCustomerLimit(CustomerId customer, long bytes) {
        List<StreamAccount> woken = new ArrayList<>();
        synchronized (this) {
            long bound = Math.max(bytes, MIN_CUSTOMER_BYTES);
            customerBounds.put(customer, bound);
            CustomerAccount account = customers.get(customer);
            if (account != null) {
                account.bound = bound;
            }
            grantWaiting(woken);
        }
        woken.forEach(s -> s.wake.run());
    }

    /**
     * Opens an account for a stream, or returns empty when the floors of the open streams take a quarter of a bound; the request
     * is then refused before it is sent.
     *
     * @param wake called when {@link StreamAccount#check} has news; must return at once
     */
    public synchronized Optional<StreamAccount> open(CustomerId customer, Runnable wake) {
        CustomerAccount account = customers.get(customer);
        if (account == null) {
            account = new CustomerAccount(customer, customerBounds.getOrDefault(customer, bounds.customerBytes()));
        }
        if (streams >= MemoryLimits.maxStreams(bounds.instanceBytes())
                || account.streams >= MemoryLimits.maxStreams(account.bound)) {
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

    /** Returns the bytes set aside: floors of open streams and what is held above them. Never above the instance bound. */
    public synchronized long reservedBytes() {
        return (long) streams * MemoryLimits.GUARANTEED_BYTES + sharedBytes;
    }

    /** Returns the bytes held for each customer with an open stream, for operators who look for slow readers. */
    public synchronized Map<CustomerId, Long> heldByCustomer() {
        Map<CustomerId, Long> held = new TreeMap<>();
        customers.values().forEach(c -> held.put(c.id, c.heldBytes));
        return held;
    }

    /** Returns the number of open streams. */
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
                    "a reservation of " + bytes + " bytes is not within 1 to " + MemoryLimits.GUARANTEED_BYTES);
        }
        if (stream.wanted > 0) {
            throw new IllegalStateException("the stream already waits for " + stream.wanted + " bytes");
        }
        if (fits(stream, bytes) && !mustQueue(stream, bytes)) {
            take(stream, bytes);
            return new MemoryDecision.Accept();
        }
        stream.wanted = bytes;
        stream.heldAtPause = stream.held;
        stream.pausedAtNanos = ticker.nanos();
        enqueueIfReady(stream);
        return new MemoryDecision.Pause(stream.pausedAtNanos + DETACH_AFTER.toNanos());
    }

    MemoryDecision check(StreamAccount stream) {
        List<StreamAccount> woken = new ArrayList<>();
        MemoryDecision decision;
        synchronized (this) {
            decision = checkLocked(stream);
            if (decision instanceof MemoryDecision.Detach && !stream.hasDrained()) {
                leaveQueue(stream);
                // Streams that queued behind this one may fit into the room that it waited for.
                grantWaiting(woken);
            }
        }
        woken.forEach(s -> s.wake.run());
        return decision;
    }

    private MemoryDecision checkLocked(StreamAccount stream) {
        if (stream.closed) {
            return new MemoryDecision.Closed();
        }
        if (stream.granted) {
            stream.granted = false;
            stream.wanted = 0;
            stream.detached = false;
            return new MemoryDecision.Accept();
        }
        if (stream.wanted == 0) {
            throw new IllegalStateException("no reservation waits");
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
        List<StreamAccount> woken = new ArrayList<>();
        synchronized (this) {
            if (stream.closed) {
                // The writer may still report bytes after another thread closed the stream, which returned them.
                return;
            }
            if (bytes < 0 || bytes > stream.held) {
                throw new IllegalArgumentException(
                        "cannot release " + bytes + " bytes; the stream holds " + stream.held);
            }
            give(stream, bytes);
            if (waits(stream) && stream.sharedShareOf(stream.wanted) == 0 && stream.hasDrained()) {
                grant(stream, woken);
            }
            enqueueIfReady(stream);
            grantWaiting(woken);
        }
        woken.forEach(s -> s.wake.run());
    }

    void close(StreamAccount stream) {
        List<StreamAccount> woken = new ArrayList<>();
        synchronized (this) {
            if (stream.closed) {
                return;
            }
            give(stream, stream.held);
            leaveQueue(stream);
            stream.closed = true;
            streams--;
            if (--stream.customer.streams == 0) {
                customers.remove(stream.customer.id);
            }
            grantWaiting(woken);
            woken.add(stream);
        }
        woken.forEach(s -> s.wake.run());
    }

    private long instanceRoom() {
        return MemoryLimits.maxShared(bounds.instanceBytes()) - sharedBytes;
    }

    private boolean fits(StreamAccount stream, int bytes) {
        long shared = stream.sharedShareOf(bytes);
        return stream.held + bytes <= bounds.streamBytes()
                && (shared == 0 || shared <= stream.customer.room() && shared <= instanceRoom());
    }

    /** Tells whether a waiting stream competes for the same room. */
    private boolean mustQueue(StreamAccount stream, int bytes) {
        return stream.sharedShareOf(bytes) > 0 && (instanceFull || !stream.customer.waiting.isEmpty());
    }

    /** Queues a stream that waits for room at its customer or the instance; one at its own bound waits for itself. */
    private void enqueueIfReady(StreamAccount stream) {
        if (!waits(stream) || !stream.hasDrained() || stream.held + stream.wanted > bounds.streamBytes()) {
            return;
        }
        CustomerAccount customer = stream.customer;
        if (customer.waiting.isEmpty()) {
            turns.addLast(customer);
        }
        customer.waiting.add(stream);
        long shared = stream.sharedShareOf(stream.wanted);
        instanceFull |= shared <= customer.room() && shared > instanceRoom();
    }

    private static boolean waits(StreamAccount stream) {
        return stream.wanted > 0 && !stream.granted;
    }

    private void leaveQueue(StreamAccount stream) {
        CustomerAccount customer = stream.customer;
        if (customer.waiting.remove(stream) && customer.waiting.isEmpty()) {
            turns.remove(customer);
        }
    }

    /** Gives freed room to the waiting streams, one per customer in turn. */
    private void grantWaiting(List<StreamAccount> woken) {
        instanceFull = false;
        int passedOver = 0;
        while (passedOver < turns.size()) {
            CustomerAccount customer = turns.getFirst();
            StreamAccount stream = customer.waiting.getFirst();
            long shared = stream.sharedShareOf(stream.wanted);
            if (shared > customer.room()) {
                turns.addLast(turns.removeFirst());
                passedOver++;
            } else if (shared > instanceRoom()) {
                // Keeps its turn: nobody else may take the room that this stream waits for.
                instanceFull = true;
                return;
            } else {
                grant(stream, woken);
                if (turns.peekFirst() == customer) {
                    turns.addLast(turns.removeFirst());
                }
                passedOver = 0;
            }
        }
    }

    private void grant(StreamAccount stream, List<StreamAccount> woken) {
        leaveQueue(stream);
        take(stream, stream.wanted);
        stream.granted = true;
        woken.add(stream);
    }

    private void take(StreamAccount stream, long bytes) {
        long shared = stream.sharedShareOf(bytes);
        stream.held += bytes;
        stream.customer.heldBytes += bytes;
        stream.customer.sharedBytes += shared;
        sharedBytes += shared;
        heldBytes += bytes;
    }

    private void give(StreamAccount stream, long bytes) {
        long shared = stream.sharedShareOf(-bytes);
        stream.held -= bytes;
        stream.customer.heldBytes -= bytes;
        stream.customer.sharedBytes += shared;
        sharedBytes += shared;
        heldBytes -= bytes;
    }
}
