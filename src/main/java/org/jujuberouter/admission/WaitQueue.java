package org.jujuberouter.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.jujuberouter.id.CustomerId;

/**
 * The wait queue of one prompt class.
 *
 * <p>Start-time fair queueing between customers: the start tag of a customer advances by the tokens granted to it
 * divided by its weight, and the customer with the smallest start tag is served next. A customer that was idle starts
 * at the current virtual time, so that it earns no credit. The requests of one customer are served in the order of
 * their deadlines.
 */
final class WaitQueue {
    private final Map<CustomerId, CustomerQueue> queues = new HashMap<>();
    private final TreeSet<CustomerQueue> nonEmptyQueues = new TreeSet<>(
            Comparator.<CustomerQueue>comparingDouble(q -> q.startTag).thenComparing(q -> q.customer));
    private double virtualTime;
    private long sequence;
    private int size;

    int size() {
        return size;
    }

    Waiter add(PermitRequest request, long now) {
        CustomerQueue queue = queues.computeIfAbsent(request.customer(), CustomerQueue::new);
        if (queue.waiters.isEmpty()) {
            queue.startTag = Math.max(queue.startTag, virtualTime);
            nonEmptyQueues.add(queue);
        }
        Waiter waiter = new Waiter(request, sequence++, now);
        queue.waiters.add(waiter);
        size++;
        return waiter;
    }

    /** Returns the next request, or null if the queue is empty. */
    Waiter head() {
        return nonEmptyQueues.isEmpty() ? null : nonEmptyQueues.first().waiters.peek();
    }

    /** Returns the tokens of the next request, or 0 if the queue is empty. */
    long headTokens() {
        Waiter head = head();
        return head == null ? 0 : Math.max(1, head.request.tokens());
    }

    /** Removes the next request; {@code charge} is whether its tokens count against its customer. */
    void removeHead(boolean charge) {
        CustomerQueue queue = nonEmptyQueues.pollFirst();
        Waiter head = queue.waiters.poll();
        size--;
        if (charge) {
            virtualTime = queue.startTag;
            queue.startTag += Math.max(1, head.request.tokens()) / head.request.weight();
        }
        if (!queue.waiters.isEmpty()) {
            nonEmptyQueues.add(queue);
        }
    }

    /** Removes and returns all matching requests, in time proportional to the length of the queue. */
    List<Waiter> removeIf(Predicate<Waiter> condition) {
        List<Waiter> removed = new ArrayList<>();
        nonEmptyQueues.removeIf(queue -> {
            queue.waiters.removeIf(waiter -> condition.test(waiter) && removed.add(waiter));
            return queue.waiters.isEmpty();
        });
        size -= removed.size();
        return removed;
    }

    /** A waiting request. */
    static final class Waiter {
        final PermitRequest request;
        final long sequence;

        /** Time at which the holder last requested the permit, on the ticker. */
        long lastRequestNanos;

        private Waiter(PermitRequest request, long sequence, long lastRequestNanos) {
            this.request = request;
            this.sequence = sequence;
            this.lastRequestNanos = lastRequestNanos;
        }
    }

    private static final class CustomerQueue {
        private final CustomerId customer;
        private final PriorityQueue<Waiter> waiters = new PriorityQueue<>(
                Comparator.<Waiter>comparingLong(w -> w.request.deadlineNanos()).thenComparingLong(w -> w.sequence));
        private double startTag;

        private CustomerQueue(CustomerId customer) {
            this.customer = customer;
        }
    }
}
