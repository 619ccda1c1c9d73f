package org.jujuberouter.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.RequestTrait;
import org.jujuberouter.misc.Ticker;

/**
 * Attributes crashes of endpoints to traits of the requests that they had just begun to answer.
 *
 * <p>A trait that crashes endpoints does so each time, so a request that is answered clears its traits of the crashes
 * before. A crash is attributed to each suspect request as a whole, and to one part of its prompt that is not cleared:
 * the one whose last answer is the longest ago, then the one that is suspected of most crashes, then the most specific one.
 * Three independent crashes quarantine a request, and a part if different requests with it were suspected. Requests with a
 * quarantined trait are refused until the quarantine expires; after that it takes three further crashes to quarantine it
 * again.
 *
 * <p>A power failure ends many endpoints at one moment, with all the calls that they run, and a part that all prompts share
 * is then suspected of each of these crashes. So crashes are independent only if they happen at different moments, or if a
 * call with the trait was sent to the second endpoint after the crash of the first. A trait that was answered shortly before
 * has more likely met a failure that spreads from one endpoint to the next; only calls sent well after a crash count then.
 *
 * <p>Instances exchange crashes and answers. Both may arrive repeatedly and in any order.
 */
public final class CrashAttribution {
    /** Number of crashes that quarantine a trait; fewer could be the coincidence of sound requests with other crashes. */
    static final int MIN_CRASHES = 3;

    /** Duration of a quarantine, and time for which crashes count; the longest lease of the platform's store. */
    public static final long QUARANTINE_MS = 600_000;

    /** Time within which reports of a crash of one endpoint are about the same crash; a restart takes longer. */
    private static final long SAME_CRASH_MS = 3_000;

    /** Time within which instances notice the crashes of endpoints that end together, also busy instances. */
    private static final long SAME_MOMENT_MS = 100;

    /** Time after a crash until which a call may be sent to an endpoint that has ended with it. */
    private static final long SENT_TOGETHER_MS = 20;

    /** The same if the cause spreads from one endpoint to the next. */
    private static final long SENT_WHILE_SPREADING_MS = 500;

    private static final long RECENTLY_ANSWERED_MS = 5_000;

    /** Time by which the store delivers crashes later than they happened, some hundred milliseconds if it is slow. */
    private static final long STORED_DELAY_MS = 1_000;

    private static final int MAX_CRASHES = 256;
    private static final int MAX_ANSWERED_TRAITS = 4_096;

    private final Ticker ticker;
    private final Deque<Crash> crashes = new ArrayDeque<>();
    private final Map<RequestTrait, Long> quarantinedUntil = new HashMap<>();

    /** The latest crash of which each trait is suspected; answers are checked against it, which are frequent. */
    private final Map<RequestTrait, Long> suspectedAt = new HashMap<>();

    private final Map<RequestTrait, Long> answeredAt = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestTrait, Long> eldest) {
            return size() > MAX_ANSWERED_TRAITS;
        }
    };

    private CrashAttribution(Ticker ticker) {
        this.ticker = ticker;
    }

    /** Returns an attribution without evidence. */
    public static CrashAttribution empty(Ticker ticker) {
        return new CrashAttribution(ticker);
    }

    /**
     * The crash of an endpoint.
     *
     * @param earliestAt when it happened at the earliest, if that is not known
     */
    private record Crash(EndpointId endpoint, long earliestAt, long at, Set<SuspectCall> suspects) {
        private boolean hasSuspectWith(RequestTrait trait) {
            return suspects.stream().anyMatch(s -> s.traits().contains(trait));
        }

        /** Returns when the last suspect call with the trait was sent. */
        private long lastSentAt(RequestTrait trait) {
            return at
                    - nanos(suspects.stream()
                            .filter(s -> s.traits().contains(trait))
                            .mapToLong(SuspectCall::sentMs)
                            .min()
                            .orElseThrow());
        }
    }

    /**
     * Records a crash.
     *
     * @param ageMs the time since the crash
     * @param suspects the calls that the endpoint may have begun to answer
     */
    public void recordCrash(EndpointId endpoint, long ageMs, List<SuspectCall> suspects) {
        long at = ticker.nanos() - nanos(ageMs);
        recordCrash(endpoint, at, at, suspects);
    }

    /** Records a crash that was read from the store, which tells neither when it happened nor when the calls were sent. */
    public void recordStoredCrash(EndpointId endpoint, List<List<RequestTrait>> suspects) {
        long now = ticker.nanos();
        List<SuspectCall> calls =
                suspects.stream().map(SuspectCall::ofUnknownTime).toList();
        recordCrash(endpoint, now - nanos(STORED_DELAY_MS), now, calls);
    }

    private void recordCrash(EndpointId endpoint, long earliestAt, long at, List<SuspectCall> suspects) {
        Optional<Crash> known = crashes.stream()
                .filter(c -> c.endpoint.equals(endpoint) && Math.abs(c.at - at) < nanos(SAME_CRASH_MS))
                .findFirst();
        if (known.isPresent()) {
            known.get().suspects.addAll(suspects);
        } else {
            crashes.addLast(new Crash(endpoint, earliestAt, at, new HashSet<>(suspects)));
            if (crashes.size() > MAX_CRASHES) {
                crashes.removeFirst();
            }
        }
        indexSuspicions();
    }

    private void indexSuspicions() {
        suspectedAt.clear();
        for (Crash c : crashes) {
            c.suspects.forEach(s -> s.traits().forEach(t -> suspectedAt.merge(t, c.at, Math::max)));
        }
    }

    /**
     * Records that an endpoint has begun to answer a request without crashing, so long ago. Returns the traits that this
     * clears of a crash.
     */
    public List<RequestTrait> recordAnswer(List<RequestTrait> traits, long ageMs) {
        long at = ticker.nanos() - nanos(ageMs);
        List<RequestTrait> cleared = new ArrayList<>();
        for (RequestTrait trait : traits) {
            Long last = answeredAt.get(trait);
            if (last != null && last >= at) {
                continue;
            }
            Long suspected = suspectedAt.get(trait);
            boolean clears = suspected != null && suspected < at && (last == null || last <= suspected);
            if (clears) {
                cleared.add(trait);
            }
            // Most requests are sent once, so their answers need not be remembered.
            if (clears || !trait.isWholeRequest()) {
                answeredAt.put(trait, at);
            }
        }
        return cleared;
    }

    private static boolean isSuspected(RequestTrait trait, Crash crash, Long answered) {
        return (answered == null || answered <= crash.at) && crash.hasSuspectWith(trait);
    }

    /** Returns how long ago a request with the trait was last answered, in milliseconds; empty if that is not known. */
    public Optional<Long> answeredAgoMs(RequestTrait trait) {
        return Optional.ofNullable(answeredAt.get(trait))
                .map(at -> Math.max(0, TimeUnit.NANOSECONDS.toMillis(ticker.nanos() - at)));
    }

    /** Quarantines the traits to which enough crashes are attributed; returns those that were not quarantined before. */
    public List<RequestTrait> quarantine() {
        removeExpired();
        if (!hasCrashes()) {
            return List.of();
        }
        Map<RequestTrait, Integer> suspicions = countSuspicions();
        Map<RequestTrait, Set<Crash>> attributed = new HashMap<>();
        Map<RequestTrait, Set<RequestTrait>> requests = new HashMap<>();
        for (Crash c : crashes) {
            for (SuspectCall suspect : c.suspects) {
                RequestTrait request = suspect.request();
                if (isSuspected(request, c, answeredAt.get(request))) {
                    attributed.computeIfAbsent(request, _ -> new HashSet<>()).add(c);
                    mostSuspectPart(suspect, c, suspicions).ifPresent(part -> {
                        attributed.computeIfAbsent(part, _ -> new HashSet<>()).add(c);
                        requests.computeIfAbsent(part, _ -> new HashSet<>()).add(request);
                    });
                }
            }
        }
        List<RequestTrait> quarantined = new ArrayList<>();
        attributed.forEach((trait, evidence) -> {
            boolean differentRequests =
                    !requests.containsKey(trait) || requests.get(trait).size() > 1;
            if (countIndependent(trait, evidence) >= MIN_CRASHES
                    && differentRequests
                    && !quarantinedUntil.containsKey(trait)) {
                setQuarantined(trait, QUARANTINE_MS);
                quarantined.add(trait);
            }
        });
        return quarantined;
    }

    private int countIndependent(RequestTrait trait, Set<Crash> evidence) {
        List<Crash> inOrder =
                evidence.stream().sorted(Comparator.comparingLong(Crash::at)).toList();
        int count = 0;
        Crash counted = null;
        for (Crash c : inOrder) {
            if (counted == null || areIndependent(trait, counted, c)) {
                count++;
                counted = c;
            }
        }
        return count;
    }

    private boolean areIndependent(RequestTrait trait, Crash first, Crash second) {
        long sentAfter = second.lastSentAt(trait) - first.at;
        Long answered = answeredAt.get(trait);
        if (answered != null && first.at - answered <= nanos(RECENTLY_ANSWERED_MS)) {
            return sentAfter > nanos(SENT_WHILE_SPREADING_MS);
        }
        return sentAfter > nanos(SENT_TOGETHER_MS) || second.earliestAt - first.at > nanos(SAME_MOMENT_MS);
    }

    private void removeExpired() {
        long now = ticker.nanos();
        quarantinedUntil.values().removeIf(until -> until - now <= 0);
    }

    /** Returns whether there are crashes that count. */
    public boolean hasCrashes() {
        long now = ticker.nanos();
        if (!crashes.isEmpty() && crashes.removeIf(c -> now - c.at > nanos(QUARANTINE_MS))) {
            indexSuspicions();
        }
        return !crashes.isEmpty();
    }

    /** Counts the crashes of which each trait is suspected and not cleared. */
    private Map<RequestTrait, Integer> countSuspicions() {
        Map<RequestTrait, Integer> suspicions = new HashMap<>();
        for (Crash c : crashes) {
            c.suspects.stream()
                    .flatMap(s -> s.traits().stream())
                    .distinct()
                    .filter(t -> isSuspected(t, c, answeredAt.get(t)))
                    .forEach(t -> suspicions.merge(t, 1, Integer::sum));
        }
        return suspicions;
    }

    /** Returns the part of a suspect request that a crash is attributed to; empty if all are cleared. */
    private Optional<RequestTrait> mostSuspectPart(
            SuspectCall suspect, Crash crash, Map<RequestTrait, Integer> suspicions) {
        return suspect.parts().stream()
                .filter(t -> isSuspected(t, crash, answeredAt.get(t)))
                .min(Comparator.comparingLong((RequestTrait t) -> answeredAt.getOrDefault(t, Long.MIN_VALUE))
                        .thenComparing(t -> -suspicions.getOrDefault(t, 0))
                        .thenComparing(t -> -suspect.traits().indexOf(t)));
    }

    /** Records a quarantine by another instance. */
    public void setQuarantined(RequestTrait trait, long remainingMs) {
        quarantinedUntil.put(trait, ticker.nanos() + nanos(Math.min(remainingMs, QUARANTINE_MS)));
    }

    /** Ends a quarantine and forgets the crashes of which the trait is suspected, so that they quarantine no other trait. */
    public void end(RequestTrait trait) {
        quarantinedUntil.remove(trait);
        crashes.removeIf(c -> c.hasSuspectWith(trait));
        indexSuspicions();
    }

    /** Returns a quarantined trait among the given ones. */
    public Optional<RequestTrait> findQuarantined(List<RequestTrait> traits) {
        if (quarantinedUntil.isEmpty()) {
            return Optional.empty();
        }
        long now = ticker.nanos();
        return traits.stream()
                .filter(t -> quarantinedUntil.containsKey(t) && quarantinedUntil.get(t) - now > 0)
                .findFirst();
    }

    /** Returns the time until the quarantine of a trait expires, in milliseconds; 0 if it is not quarantined. */
    public long remainingMs(RequestTrait trait) {
        Long until = quarantinedUntil.get(trait);
        return until == null ? 0 : Math.max(0, TimeUnit.NANOSECONDS.toMillis(until - ticker.nanos()));
    }

    /** Returns the number of quarantined traits. */
    public int quarantinedCount() {
        removeExpired();
        return quarantinedUntil.size();
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
