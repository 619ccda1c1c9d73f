package org.jujuberouter.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.RequestTrait;
import org.jujuberouter.id.ServiceName;
import org.junit.jupiter.api.Test;

/** Guards against requests that crash one endpoint after the other, and against refusing sound ones beside them. */
class CrashAttributionTest {
    private static final ServiceName SERVICE = ServiceName.of("assistant");
    private static final RequestTrait SHARED = RequestTrait.part(SERVICE, "aa");
    private static final RequestTrait DEADLY = RequestTrait.part(SERVICE, "dd");

    private long nowNanos;
    private final CrashAttribution attribution = CrashAttribution.empty(() -> nowNanos);
    private int requests;

    private void advance(long millis) {
        nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private RequestTrait newRequest() {
        return RequestTrait.request(SERVICE, Fingerprint.of("f" + requests++));
    }

    private List<RequestTrait> request(RequestTrait... parts) {
        List<RequestTrait> traits = new ArrayList<>(List.of(parts));
        traits.add(newRequest());
        return traits;
    }

    private void crash(String endpoint, List<RequestTrait> suspect) {
        advance(50);
        attribution.recordCrash(EndpointId.of(endpoint), 0, List.of(SuspectCall.of(suspect, 0)));
    }

    @Test
    void quarantinesThePartThatAllCrashesHaveInCommon() {
        attribution.recordAnswer(request(SHARED), 0);
        for (int i = 0; i < 3; i++) {
            assertEquals(List.of(), attribution.quarantine());
            crash("e" + i, request(SHARED, DEADLY));
        }
        assertEquals(List.of(DEADLY), attribution.quarantine());
        assertEquals(
                DEADLY, attribution.findQuarantined(request(SHARED, DEADLY)).orElseThrow());
        assertTrue(attribution.findQuarantined(request(SHARED)).isEmpty());
    }

    /** No instance may have seen an answer to the shared part yet; the sound requests with it must not be refused. */
    @Test
    void quarantinesTheMoreSpecificOfTwoPartsThatAlwaysOccurTogether() {
        for (int i = 0; i < 3; i++) {
            crash("e" + i, request(SHARED, DEADLY));
        }
        assertEquals(List.of(DEADLY), attribution.quarantine());
    }

    @Test
    void quarantinesAPartThatWasSoundBefore() {
        attribution.recordAnswer(List.of(DEADLY), 0);
        advance(10_000);
        attribution.recordAnswer(List.of(SHARED), 0);
        for (int i = 0; i < 3; i++) {
            crash("e" + i, request(SHARED, DEADLY));
        }
        assertEquals(List.of(DEADLY), attribution.quarantine());
    }

    @Test
    void quarantinesTheSharedPartIfItsCompanionsDiffer() {
        for (int i = 0; i < 3; i++) {
            crash("e" + i, request(SHARED, RequestTrait.part(SERVICE, "b" + i)));
        }
        assertEquals(List.of(SHARED), attribution.quarantine());
    }

    @Test
    void quarantinesARequestThatIsSentAgain() {
        List<RequestTrait> repeated = request(SHARED);
        attribution.recordAnswer(List.of(SHARED), 0);
        for (int i = 0; i < 3; i++) {
            crash("e" + i, repeated);
        }
        assertEquals(List.of(repeated.getLast()), attribution.quarantine());
    }

    /** The other parts of a request that crashes endpoints by itself are sound. */
    @Test
    void doesNotQuarantineAPartThatOnlyOneRepeatedRequestHas() {
        List<RequestTrait> repeated = request(DEADLY);
        for (int i = 0; i < 4; i++) {
            crash("e" + i, repeated);
        }
        assertEquals(List.of(repeated.getLast()), attribution.quarantine());
    }

    @Test
    void clearsATraitThatIsAnsweredAfterTheCrash() {
        for (int i = 0; i < 2; i++) {
            crash("e" + i, request(SHARED));
        }
        advance(1);
        assertEquals(List.of(SHARED), attribution.recordAnswer(List.of(SHARED), 0));
        crash("e2", request(SHARED));
        assertEquals(List.of(), attribution.quarantine());
    }

    /** Several instances report one crash, late and repeatedly. */
    @Test
    void countsTheReportsOfOneCrashOnce() {
        List<RequestTrait> suspect = request(DEADLY);
        for (int i = 0; i < 5; i++) {
            attribution.recordCrash(EndpointId.of("e"), 20L * i, List.of(SuspectCall.of(suspect, 0)));
            advance(20);
        }
        assertEquals(List.of(), attribution.quarantine());
    }

    /** All requests with a common part were refused for ten minutes after a power failure of the engines. */
    @Test
    void quarantinesNothingWhenAllEndpointsCrashTogether() {
        attribution.recordAnswer(request(SHARED), 0);
        advance(40);
        for (int i = 0; i < 8; i++) {
            advance(i % 2);
            attribution.recordCrash(EndpointId.of("e" + i), i, List.of(SuspectCall.of(request(SHARED), 30 + i)));
        }
        assertEquals(List.of(), attribution.quarantine());
    }

    @Test
    void quarantinesNothingWhenEndpointsCrashTogetherBeforeAnyAnswer() {
        for (int i = 0; i < 8; i++) {
            attribution.recordCrash(EndpointId.of("e" + i), 0, List.of(SuspectCall.of(request(SHARED), 5)));
            advance(2);
        }
        assertEquals(List.of(), attribution.quarantine());
    }

    /** Calls that an endpoint cut are sent on at once, to endpoints that are about to lose their power too. */
    @Test
    void quarantinesNothingWhenAPowerFailureSpreadsOverEndpointsThatHaveAnsweredUntilThen() {
        attribution.recordAnswer(request(SHARED), 0);
        for (int i = 0; i < 8; i++) {
            advance(50);
            attribution.recordCrash(EndpointId.of("e" + i), 0, List.of(SuspectCall.of(request(SHARED), 45)));
        }
        assertEquals(List.of(), attribution.quarantine());
    }

    /** A part may become deadly while requests with it are answered, as the weights of a model change. */
    @Test
    void quarantinesAPartThatCrashesEndpointsAgainAndAgainSoonAfterItsLastAnswer() {
        attribution.recordAnswer(List.of(DEADLY), 0);
        for (int i = 0; i < 3; i++) {
            assertEquals(List.of(), attribution.quarantine());
            advance(700);
            attribution.recordCrash(EndpointId.of("e" + i), 0, List.of(SuspectCall.of(request(DEADLY), 100)));
        }
        assertEquals(List.of(DEADLY), attribution.quarantine());
    }

    /** Endpoints read prompts for some hundred milliseconds; each further crash before the quarantine is a loss. */
    @Test
    void quarantinesAPartWhoseCrashesAreApartAlthoughItsCallsOverlap() {
        for (int i = 0; i < 3; i++) {
            assertEquals(List.of(), attribution.quarantine());
            advance(170);
            attribution.recordCrash(EndpointId.of("e" + i), 0, List.of(SuspectCall.of(request(DEADLY), 400)));
        }
        assertEquals(List.of(DEADLY), attribution.quarantine());
    }

    /** The store may deliver crashes of one moment apart from each other. */
    @Test
    void countsStoredCrashesAsOneUnlessTheyAreFarApart() {
        for (int i = 0; i < 5; i++) {
            attribution.recordStoredCrash(EndpointId.of("e" + i), List.of(request(DEADLY)));
            advance(200);
        }
        assertEquals(List.of(), attribution.quarantine());
        for (int i = 5; i < 7; i++) {
            advance(1_200);
            attribution.recordStoredCrash(EndpointId.of("e" + i), List.of(request(DEADLY)));
        }
        assertEquals(List.of(DEADLY), attribution.quarantine());
    }

    /** Parallel requests with a deadly part crash several endpoints together, and go on doing so. */
    @Test
    void quarantinesAPartWhoseCrashesTogetherAreFollowedByFurtherOnes() {
        for (int i = 0; i < 4; i++) {
            attribution.recordCrash(EndpointId.of("e" + i), 0, List.of(SuspectCall.of(request(DEADLY), 80)));
        }
        assertEquals(List.of(), attribution.quarantine());
        crash("e4", request(DEADLY));
        crash("e5", request(DEADLY));
        assertEquals(List.of(DEADLY), attribution.quarantine());
    }

    @Test
    void takesThreeFurtherCrashesToQuarantineAgainAfterAnExpiry() {
        for (int i = 0; i < 3; i++) {
            crash("e" + i, request(DEADLY));
        }
        assertEquals(List.of(DEADLY), attribution.quarantine());
        advance(CrashAttribution.QUARANTINE_MS);
        assertTrue(attribution.findQuarantined(List.of(DEADLY)).isEmpty());
        crash("e3", request(DEADLY));
        crash("e4", request(DEADLY));
        assertEquals(List.of(), attribution.quarantine());
        crash("e5", request(DEADLY));
        assertEquals(List.of(DEADLY), attribution.quarantine());
    }

    @Test
    void endsAQuarantineWithTheEvidenceForIt() {
        for (int i = 0; i < 3; i++) {
            crash("e" + i, request(SHARED, DEADLY));
        }
        attribution.quarantine();
        advance(1);
        attribution.end(DEADLY);
        assertEquals(List.of(), attribution.quarantine(), "nor is another part of those requests");
        assertTrue(attribution.findQuarantined(List.of(DEADLY)).isEmpty());
    }

    /**
     * Sound requests share all other parts with deadly ones, some are about to be answered by an engine that crashes, and
     * engines crash for other reasons too.
     */
    @Test
    void quarantinesOnlyTheDeadlyPartAmongRandomRequests() {
        for (int seed = 0; seed < 200; seed++) {
            nowNanos = 0;
            CrashAttribution tried = CrashAttribution.empty(() -> nowNanos);
            Random random = new Random(seed);
            Set<RequestTrait> quarantined = new HashSet<>();
            int deadlyRuns = 0;
            for (int i = 0; i < 2_000; i++) {
                advance(25);
                RequestTrait part = RequestTrait.part(SERVICE, "p" + (int) (60 * Math.pow(random.nextDouble(), 2)));
                boolean deadly = i > 100 && random.nextDouble() < 0.05;
                List<RequestTrait> traits = deadly ? request(part, DEADLY) : request(part);
                if (tried.findQuarantined(traits).isPresent()) {
                    continue;
                }
                if (deadly || random.nextDouble() < 0.01) {
                    List<SuspectCall> suspects = new ArrayList<>(List.of(SuspectCall.of(traits, 0)));
                    if (random.nextDouble() < 0.1) {
                        suspects.add(SuspectCall.of(request(RequestTrait.part(SERVICE, "p" + random.nextInt(60))), 0));
                    }
                    tried.recordCrash(EndpointId.of("e" + i), 0, suspects);
                    deadlyRuns += deadly ? 1 : 0;
                } else {
                    tried.recordAnswer(traits, 0);
                }
                quarantined.addAll(tried.quarantine());
            }
            assertEquals(Set.of(DEADLY), quarantined, "seed " + seed);
            assertEquals(CrashAttribution.MIN_CRASHES, deadlyRuns, "seed " + seed);
        }
    }
}
