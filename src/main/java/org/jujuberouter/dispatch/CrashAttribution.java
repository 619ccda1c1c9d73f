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
 * <p>A trait that crashes endpoints does so each time, so a request that is answered acquits its traits of the crashes
 * before. A crash is attributed to each suspect request as a whole, and to one part of its prompt that is not acquitted:
 * the one whose last answer is the longest ago, then the one that is suspected of most crashes, then the most specific one.
 * Three crashes convict a request, and a part if different requests with it were suspected. Requests with a convicted
 * trait are refused until the conviction expires; after that it takes three further crashes to convict it again.
 *
 * <p>Instances exchange crashes and answers. Both may arrive repeatedly and in any order.
 */
public final class CrashAttribution {
    /** Number of crashes that convict a trait; fewer could be the coincidence of sound requests with other crashes. */
    static final int CONVICTING_CRASHES = 3;

    /** Duration of a conviction, and time for which crashes count; the longest lease of the platform's store. */
    public static final long CONVICTION_MS = 600_000;

    /** Time within which reports of a crash of one endpoint are about the same crash; a restart takes longer. */
    private static final long SAME_CRASH_MS = 3_000;

    private static final int MAX_CRASHES = 256;
    private static final int MAX_ANSWERED_TRAITS = 4_096;

    private final Ticker ticker;
    private final Deque<Crash> crashes = new ArrayDeque<>();
    private final Map<RequestTrait, Long> convictedUntil = new HashMap<>();

    /** The latest crash of which each trait is suspected; answers are checked against it, which are frequent. */
    private final Map<RequestTrait, Long> accusedAt = new HashMap<>();

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

    private record Crash(EndpointId endpoint, long at, Set<List<RequestTrait>> suspects) {}

    /**
     * Records a crash.
     *
     * @param ageMs the time since the crash
     * @param suspects the traits of each request that the endpoint may have begun to answer: the suspect parts of its prompt
     *     in order, then the whole request
     */
    public void recordCrash(EndpointId endpoint, long ageMs, List<List<RequestTrait>> suspects) {
        long at = ticker.nanos() - nanos(ageMs);
        Optional<Crash> known = crashes.stream()
                .filter(c -> c.endpoint.equals(endpoint) && Math.abs(c.at - at) < nanos(SAME_CRASH_MS))
                .findFirst();
        if (known.isPresent()) {
            known.get().suspects.addAll(suspects);
        } else {
            crashes.addLast(new Crash(endpoint, at, new HashSet<>(suspects)));
            if (crashes.size() > MAX_CRASHES) {
                crashes.removeFirst();
            }
        }
        indexAccusations();
    }

    private void indexAccusations() {
        accusedAt.clear();
        for (Crash c : crashes) {
            c.suspects.forEach(s -> s.forEach(t -> accusedAt.merge(t, c.at, Math::max)));
        }
    }

    /**
     * Records that an endpoint has begun to answer a request without crashing, so long ago. Returns the traits that this
     * acquits of a crash.
     */
    public List<RequestTrait> recordAnswer(List<RequestTrait> traits, long ageMs) {
        long at = ticker.nanos() - nanos(ageMs);
        List<RequestTrait> acquitted = new ArrayList<>();
        for (RequestTrait trait : traits) {
            Long last = answeredAt.get(trait);
            if (last != null && last >= at) {
                continue;
            }
            Long accused = accusedAt.get(trait);
            boolean acquits = accused != null && accused < at && (last == null || last <= accused);
            if (acquits) {
                acquitted.add(trait);
            }
            // Most requests are sent once, so their answers need not be remembered.
            if (acquits || !trait.isWholeRequest()) {
                answeredAt.put(trait, at);
            }
        }
        return acquitted;
    }

    private static boolean isAccused(RequestTrait trait, Crash crash, Long answered) {
        return (answered == null || answered <= crash.at)
                && crash.suspects.stream().anyMatch(s -> s.contains(trait));
    }

    /** Returns how long ago a request with the trait was last answered, in milliseconds; empty if that is not known. */
    public Optional<Long> answeredAgoMs(RequestTrait trait) {
        return Optional.ofNullable(answeredAt.get(trait))
                .map(at -> Math.max(0, TimeUnit.NANOSECONDS.toMillis(ticker.nanos() - at)));
    }

    /** Convicts the traits to which enough crashes are attributed; returns those that were not convicted before. */
    public List<RequestTrait> convict() {
        removeExpiredConvictions();
        if (!hasCrashes()) {
            return List.of();
        }
        Map<RequestTrait, Integer> accusations = countAccusations();
        Map<RequestTrait, Set<Crash>> attributed = new HashMap<>();
        Map<RequestTrait, Set<RequestTrait>> requests = new HashMap<>();
        for (Crash c : crashes) {
            for (List<RequestTrait> suspect : c.suspects) {
                RequestTrait request = suspect.getLast();
                if (isAccused(request, c, answeredAt.get(request))) {
                    attributed.computeIfAbsent(request, _ -> new HashSet<>()).add(c);
                    mostSuspectPart(suspect, c, accusations).ifPresent(part -> {
                        attributed.computeIfAbsent(part, _ -> new HashSet<>()).add(c);
                        requests.computeIfAbsent(part, _ -> new HashSet<>()).add(request);
                    });
                }
            }
        }
        List<RequestTrait> convicted = new ArrayList<>();
        attributed.forEach((trait, evidence) -> {
            boolean differentRequests =
                    !requests.containsKey(trait) || requests.get(trait).size() > 1;
            if (evidence.size() >= CONVICTING_CRASHES && differentRequests && !convictedUntil.containsKey(trait)) {
                setConvicted(trait, CONVICTION_MS);
                convicted.add(trait);
            }
        });
        return convicted;
    }

    private void removeExpiredConvictions() {
        long now = ticker.nanos();
        convictedUntil.values().removeIf(until -> until - now <= 0);
    }

    /** Returns whether there are crashes that count. */
    public boolean hasCrashes() {
        long now = ticker.nanos();
        if (!crashes.isEmpty() && crashes.removeIf(c -> now - c.at > nanos(CONVICTION_MS))) {
            indexAccusations();
        }
        return !crashes.isEmpty();
    }

    /** Counts the crashes of which each trait is suspected and not acquitted. */
    private Map<RequestTrait, Integer> countAccusations() {
        Map<RequestTrait, Integer> accusations = new HashMap<>();
        for (Crash c : crashes) {
            c.suspects.stream()
                    .flatMap(List::stream)
                    .distinct()
                    .filter(t -> isAccused(t, c, answeredAt.get(t)))
                    .forEach(t -> accusations.merge(t, 1, Integer::sum));
        }
        return accusations;
    }

    /** Returns the part of a suspect request that a crash is attributed to; empty if all are acquitted. */
    private Optional<RequestTrait> mostSuspectPart(
            List<RequestTrait> suspect, Crash crash, Map<RequestTrait, Integer> accusations) {
        return suspect.subList(0, suspect.size() - 1).stream()
                .filter(t -> isAccused(t, crash, answeredAt.get(t)))
                .min(Comparator.comparingLong((RequestTrait t) -> answeredAt.getOrDefault(t, Long.MIN_VALUE))
                        .thenComparing(t -> -accusations.getOrDefault(t, 0))
                        .thenComparing(t -> -suspect.indexOf(t)));
    }

    /** Records a conviction by another instance. */
    public void setConvicted(RequestTrait trait, long remainingMs) {
        convictedUntil.put(trait, ticker.nanos() + nanos(Math.min(remainingMs, CONVICTION_MS)));
    }

    /** Lifts a conviction and forgets the crashes of which the trait is suspected, so that they convict no other trait. */
    public void lift(RequestTrait trait) {
        convictedUntil.remove(trait);
        crashes.removeIf(c -> c.suspects.stream().anyMatch(s -> s.contains(trait)));
        indexAccusations();
    }

    /** Returns a convicted trait among the given ones. */
    public Optional<RequestTrait> findConvicted(List<RequestTrait> traits) {
        if (convictedUntil.isEmpty()) {
            return Optional.empty();
        }
        long now = ticker.nanos();
        return traits.stream()
                .filter(t -> convictedUntil.containsKey(t) && convictedUntil.get(t) - now > 0)
                .findFirst();
    }

    /** Returns the time until the conviction of a trait expires, in milliseconds; 0 if it is not convicted. */
    public long remainingMs(RequestTrait trait) {
        Long until = convictedUntil.get(trait);
        return until == null ? 0 : Math.max(0, TimeUnit.NANOSECONDS.toMillis(until - ticker.nanos()));
    }

    /** Returns the number of convicted traits. */
    public int convictedCount() {
        removeExpiredConvictions();
        return convictedUntil.size();
    }

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
