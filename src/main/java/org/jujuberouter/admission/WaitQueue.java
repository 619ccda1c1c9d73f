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
 * The requests of one lane that wait.
 *
 * <p>Weighted fair queueing between customers: each customer has a virtual time that advances by the tokens granted to it
 * over its weight, and the customer with the smallest is next. A customer that returns starts at the current virtual time,
 * so idling earns no credit. Within a customer the earliest deadline is first.
 */
final class WaitQueue {
    private final Map<CustomerId, Line> lines = new HashMap<>();
    private final TreeSet<Line> active =
            new TreeSet<>(Comparator.<Line>comparingDouble(l -> l.time).thenComparing(l -> l.customer));
    private double virtualTime;
    private long sequence;
    private int size;

    int size() {
        return size;
    }

    Waiter add(PermitRequest request, long now) {
        Line line = lines.computeIfAbsent(request.customer(), Line::new);
        if (line.waiters.isEmpty()) {
            line.time = Math.max(line.time, virtualTime);
            active.add(line);
        }
        Waiter waiter = new Waiter(request, sequence++, now);
        line.waiters.add(waiter);
        size++;
        return waiter;
    }

    /** Returns the request that is next, or null. */
    Waiter head() {
        return active.isEmpty() ? null : active.first().waiters.peek();
    }

    /** Returns the tokens of the request that is next, or 0. */
    long headTokens() {
        Waiter head = head();
        return head == null ? 0 : Math.max(1, head.request.tokens());
    }

    /** Removes the request that is next; {@code charge} tells whether its customer pays for it. */
    void removeHead(boolean charge) {
        Line line = active.pollFirst();
        Waiter head = line.waiters.poll();
        size--;
        if (charge) {
            virtualTime = line.time;
            line.time += Math.max(1, head.request.tokens()) / head.request.weight();
        }
        if (!line.waiters.isEmpty()) {
            active.add(line);
        }
    }

    /** Removes and returns all requests that match; takes time in proportion to the queue. */
    List<Waiter> removeIf(Predicate<Waiter> condition) {
        List<Waiter> removed = new ArrayList<>();
        active.removeIf(line -> {
            line.waiters.removeIf(waiter -> condition.test(waiter) && removed.add(waiter));
            return line.waiters.isEmpty();
        });
        size -= removed.size();
        return removed;
    }

    /** One request that waits. */
    static final class Waiter {
        final PermitRequest request;
        final long sequence;

        /** When the holder last asked. */
        long askedAt;

        private Waiter(PermitRequest request, long sequence, long askedAt) {
            this.request = request;
            this.sequence = sequence;
            this.askedAt = askedAt;
        }
    }

    private static final class Line {
        private final CustomerId customer;
        private final PriorityQueue<Waiter> waiters = new PriorityQueue<>(
                Comparator.<Waiter>comparingLong(w -> w.request.deadlineNanos()).thenComparingLong(w -> w.sequence));
        private double time;

        private Line(CustomerId customer) {
            this.customer = customer;
        }
    }
}
