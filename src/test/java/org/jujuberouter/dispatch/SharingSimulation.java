package org.jujuberouter.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.jujuberouter.id.CustomerId;
import org.jujuberouter.id.RequestId;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.ManualTicker;

/**
 * Instances that place the calls of several customers on one engine's slots, in steps of 10 ms. Each call holds a slot for
 * as long as its work. A deferred call leaves a freed slot to others as {@link CallScheduler} has it do.
 */
final class SharingSimulation {
    static final int STEP_MS = 10;
    static final ServiceName SERVICE = ServiceName.of("assistant");
    private static final long YIELD_MS = 30;
    private static final int MIN_FREE_SLOTS_WITHOUT_YIELD = 3;
    private static final double TIME_CONSTANT_MS = 3_000;

    /** The calls of a customer, usually all of them; with impatient callers, a call that has left is sent again. */
    static final class Load {
        double callsPerSecond;
        double workMs;
        long objectiveMs = 300;
        long patienceMs = 2_000;
        int priority;
        int customer;
        boolean impatient;
        double servedMs;
        double askedMs;
        int onTime;
        int late;
        int left;
        double waitedMs;
        private int waiting;
        private double usage;
        private int msBelowShare;

        Load(double callsPerSecond, double workMs) {
            this.callsPerSecond = callsPerSecond;
            this.workMs = workMs;
        }
    }

    record Call(int customer, long arrivedMs, int instance, CallRequirements requirements) {}

    private record Notice(long dueMs, int instance, WorkClaim claim, long waitedMs) {}

    private record Running(long endsMs, WorkClaim claim) {}

    final List<Load> loads = new ArrayList<>();
    final List<FairShare> shares = new ArrayList<>();
    boolean chargesWork = true;
    boolean holdsBackDeferredCalls;
    int maxMsBelowShare;
    int maxMsIdle;
    int maxSlotsIdle;
    private final ManualTicker ticker = ManualTicker.atZero();
    private final Random random;
    private final long noticeDelayMs;
    private final List<CallQueue<Call>> queues = new ArrayList<>();
    private final Set<Call> waiting = new LinkedHashSet<>();
    private final List<Notice> notices = new ArrayList<>();
    private final List<Running> running = new ArrayList<>();
    private final long[] freedMs;
    private int msIdle;
    private long nowMs;
    private int calls;

    SharingSimulation(long seed, int slots, int instances, long noticeDelayMs) {
        this.random = new Random(seed);
        this.noticeDelayMs = noticeDelayMs;
        this.freedMs = new long[slots];
        Arrays.fill(freedMs, -YIELD_MS);
        for (int i = 0; i < instances; i++) {
            shares.add(null);
            queues.add(null);
            restart(i);
        }
    }

    Load add(double callsPerSecond, double workMs) {
        Load load = new Load(callsPerSecond, workMs);
        load.customer = loads.size();
        loads.add(load);
        return load;
    }

    /** Restarts an instance: its calls are lost, and its peers send it their work in progress. */
    void restart(int instance) {
        shares.set(instance, FairShare.of(ticker));
        queues.set(instance, CallQueue.sharedBy(shares.get(instance), ticker));
        waiting.stream().filter(c -> c.instance == instance).forEach(c -> loads.get(c.customer).waiting--);
        waiting.removeIf(c -> c.instance == instance);
        notices.removeIf(n -> n.instance == instance);
        running.forEach(r -> notices.add(new Notice(nowMs + noticeDelayMs, instance, r.claim, 0)));
    }

    void run(int seconds) {
        for (long end = nowMs + seconds * 1_000L; nowMs < end; nowMs += STEP_MS) {
            step();
        }
    }

    private void step() {
        ticker.advance(Duration.ofMillis(STEP_MS));
        running.removeIf(r -> {
            if (r.endsMs <= nowMs) {
                freedMs[freeSlots()] = nowMs;
            }
            return r.endsMs <= nowMs;
        });
        deliverNotices();
        for (int c = 0; c < loads.size(); c++) {
            for (double mean = loads.get(c).callsPerSecond * STEP_MS / 1e3; random.nextDouble() < mean; mean--) {
                arrive(c);
            }
        }
        for (Call c : List.copyOf(waiting)) {
            if (nowMs - c.arrivedMs > loads.get(c.customer).patienceMs) {
                leave(c);
            }
        }
        List<CallQueue<Call>> order = new ArrayList<>(queues);
        Collections.shuffle(order, random);
        order.forEach(q -> q.dispatch(this::place));
        check();
    }

    private void deliverNotices() {
        for (Notice n : List.copyOf(notices)) {
            if (n.dueMs <= nowMs) {
                shares.get(n.instance).charge(SERVICE, n.claim, n.waitedMs);
            }
        }
        notices.removeIf(n -> n.dueMs <= nowMs);
    }

    void arrive(int customer) {
        Load load = loads.get(customer);
        WorkClaim claim = new WorkClaim(Optional.of(CustomerId.of("c" + load.customer)), load.priority, load.workMs);
        CallRequirements requirements = new CallRequirements(
                        RequestId.of("r" + calls++), SERVICE, 5_000, 100, load.objectiveMs, 0, load.patienceMs)
                .withClaim(claim);
        Call call = new Call(customer, nowMs, random.nextInt(queues.size()), requirements);
        load.askedMs += load.workMs;
        load.waiting++;
        waiting.add(call);
        shares.get(call.instance).recordArrival(requirements);
        queues.get(call.instance).add(call, requirements, ticker.nanos());
    }

    private void leave(Call call) {
        Load load = loads.get(call.customer);
        load.left++;
        load.waiting--;
        waiting.remove(call);
        queues.get(call.instance).remove(call);
        if (load.impatient) {
            arrive(call.customer);
        }
    }

    private int freeSlots() {
        return freedMs.length - running.size();
    }

    private boolean place(Call call) {
        FairShare share = shares.get(call.instance);
        boolean deferred = share.standing(call.requirements) == CustomerStanding.DEFERRED;
        int free = freeSlots();
        boolean yields =
                deferred && free < MIN_FREE_SLOTS_WITHOUT_YIELD && free > 0 && nowMs - freedMs[free - 1] < YIELD_MS;
        if (free <= 0 || yields || deferred && holdsBackDeferredCalls) {
            return false;
        }
        Load load = loads.get(call.customer);
        long waitedMs = nowMs - call.arrivedMs;
        WorkClaim claim = call.requirements.claim();
        running.add(new Running(nowMs + Math.round(claim.workMs()), claim));
        waiting.remove(call);
        load.waiting--;
        load.usage += claim.workMs();
        load.servedMs += claim.workMs();
        load.waitedMs += waitedMs;
        if (call.requirements.canBeOnTime(waitedMs)) {
            load.onTime++;
        } else {
            load.late++;
        }
        if (chargesWork) {
            share.charge(SERVICE, claim, waitedMs);
            for (int i = 0; i < shares.size(); i++) {
                if (i != call.instance) {
                    notices.add(new Notice(nowMs + noticeDelayMs, i, claim, waitedMs));
                }
            }
        }
        return true;
    }

    /** Measures, from what has really been served, for how long customers are kept below their shares or slots free. */
    private void check() {
        msIdle = freeSlots() > 0 && !waiting.isEmpty() ? msIdle + STEP_MS : 0;
        maxMsIdle = Math.max(maxMsIdle, msIdle);
        maxSlotsIdle = Math.max(maxSlotsIdle, waiting.isEmpty() ? 0 : freeSlots());
        double level = fairLevel();
        for (Load load : loads) {
            boolean below = load.waiting > 0 && load.usage < 0.9 * level;
            load.msBelowShare = below ? load.msBelowShare + STEP_MS : 0;
            maxMsBelowShare = Math.max(maxMsBelowShare, load.msBelowShare);
            load.usage *= Math.exp(-STEP_MS / TIME_CONSTANT_MS);
        }
    }

    /** Returns the level that divides the usage of all customers by bisection, independently of {@link FairShare}. */
    private double fairLevel() {
        double total = 0;
        for (Load l : loads) {
            total += l.usage;
        }
        double low = 0;
        double high = total;
        for (int i = 0; i < 30; i++) {
            double level = (low + high) / 2;
            double needed = 0;
            for (Load l : loads) {
                needed += l.waiting > 0 ? level : Math.min(l.usage, level);
            }
            if (needed < total) {
                low = level;
            } else {
                high = level;
            }
        }
        return low;
    }
}
