package org.jujuberouter.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jujuberouter.id.EndpointId;
import org.jujuberouter.id.FailureDomain;
import org.jujuberouter.id.Fingerprint;
import org.jujuberouter.id.ModelName;
import org.jujuberouter.id.ServiceName;
import org.jujuberouter.misc.ManualTicker;
import org.junit.jupiter.api.Test;

/** Guards against requests routed to endpoints that must not or cannot take them. */
class RouterTest {
    private static final ServiceVariant MODEL =
            ServiceVariant.of(ServiceName.of("assistant"), ModelName.of("m"), "", "1");
    private static final FailureDomain NEAR = FailureDomain.of("d0");

    private final ManualTicker ticker = ManualTicker.atZero();
    private final Router router = Router.of(RoutingSettings.in(NEAR), ticker, 1);

    private static EndpointId id(int i) {
        return EndpointId.of("e" + i);
    }

    /** Nine endpoints in three domains; one in each domain has a larger memory. */
    private RouterTest() {
        for (int i = 0; i < 9; i++) {
            FailureDomain domain = FailureDomain.of("d" + i % 3);
            router.putEndpoint(EndpointSpec.of(id(i), domain, Set.of(MODEL), i < 3 ? 2_000_000 : 450_000));
        }
    }

    private static RouteRequest prompt(long tokens, int seed) {
        long[] contents = new long[(int) (tokens / 256)];
        contents[0] = seed;
        return RouteRequest.of(MODEL, tokens, 500, PromptBlocks.ofContents(contents));
    }

    private ReportedLoad load(int requests, int maxRequests, long pending) {
        return new ReportedLoad(
                ticker.nanos(), requests, maxRequests, ReportedLoad.Pending.unclassified(pending), pending);
    }

    private EndpointId first(Router from, RouteRequest request) {
        return assertInstanceOf(RouteResult.Candidates.class, from.route(request))
                .endpoints()
                .getFirst();
    }

    private Set<EndpointId> everChosen(RouteRequest request) {
        Set<EndpointId> chosen = new java.util.TreeSet<>();
        for (int i = 0; i < 300; i++) {
            if (router.route(request) instanceof RouteResult.Candidates c) {
                chosen.addAll(c.endpoints());
            }
        }
        return chosen;
    }

    @Test
    void neverReturnsAnEndpointThatIsDrainedLeavingOrUnavailable() {
        router.setCondition(id(3), EndpointCondition.LEAVING);
        router.setCondition(id(4), EndpointCondition.UNAVAILABLE);
        router.setDrainedDomains(Set.of(FailureDomain.of("d2")));
        RouteRequest request = prompt(1000, 1);
        router.recordSent(id(3), request);
        assertEquals(Set.of(id(0), id(1), id(6), id(7)), everChosen(request));
        router.setDrainedDomains(Set.of(NEAR, FailureDomain.of("d1"), FailureDomain.of("d2")));
        assertInstanceOf(RouteResult.NoneAvailable.class, router.route(request));
    }

    @Test
    void confinesLongPromptsToTheirSubsetAndToEndpointsThatCanHoldThem() {
        assertEquals(Set.of(id(0), id(1), id(2)), everChosen(prompt(1_000_000, 1)));
        Set<EndpointId> small = Set.of(id(3), id(4), id(8));
        assertEquals(small, everChosen(prompt(100_000, 1)), "one of each domain, not the large ones");
        assertEquals(9, everChosen(prompt(60_000, 1)).size());
        assertEquals(new RouteResult.TooLarge(1_300_500, 1_200_000), router.route(prompt(1_300_000, 1)));
        for (int i = 0; i < 3; i++) {
            router.setCondition(id(i), EndpointCondition.DRAINED);
        }
        assertInstanceOf(RouteResult.NoneAvailable.class, router.route(prompt(1_000_000, 1)));
        assertEquals(3, everChosen(prompt(100_000, 1)).size(), "the subset moves to serving endpoints");
    }

    /** Guards against instances of different releases that derive different subsets for long prompts. */
    @Test
    void keepsTheTextFromWhichTheSubsetForLongPromptsIsDerived() {
        assertEquals("Placement[service=assistant, model=Optional[m], adapter=, version=1]", MODEL.hashText());
    }

    /** Guards against long prompts that queue at small endpoints, or are refused, while large ones have room. */
    @Test
    void sendsLongPromptsToLargeEndpointsWhenTheSmallOnesAreSaturatedOrWereTried() {
        Set<EndpointId> small = Set.of(id(3), id(4), id(8));
        Set<EndpointId> large = Set.of(id(0), id(1), id(2));
        assertEquals(large, everChosen(prompt(100_000, 1).excluding(small)));
        small.forEach(e -> router.reportLoad(e, load(1, 64, 190_000)));
        assertEquals(small, everChosen(prompt(100_000, 1)), "a wait of 9.5 s is accepted");
        small.forEach(e -> router.reportLoad(e, load(1, 64, 210_000)));
        assertEquals(large, everChosen(prompt(100_000, 1)));
        large.forEach(e -> router.reportLoad(e, load(1, 64, 400_000)));
        assertEquals(small, everChosen(prompt(100_000, 1)), "the wait at the large ones is longer");
    }

    @Test
    void distinguishesAnUnknownModelFromOneThatIsNotLoaded() {
        ServiceVariant other = ServiceVariant.of(ServiceName.of("assistant"), ModelName.of("n"), "", "1");
        RouteRequest request = RouteRequest.of(other, 10, 10, new long[0]);
        assertInstanceOf(RouteResult.UnknownModel.class, router.route(request));
        router.setOffered(Set.of(other));
        assertInstanceOf(RouteResult.NoneAvailable.class, router.route(request));
    }

    @Test
    void prefersTheHolderOfTheCachedPrefixUntilItIsLoaded() {
        RouteRequest request = prompt(8000, 7);
        router.cacheStored(id(8), 1, request.blocks());
        assertEquals(id(8), first(router, request));
        router.reportLoad(id(8), load(10, 99, 60_000));
        assertNotEquals(id(8), first(router, request));
    }

    @Test
    void spreadsAHotPrefixThatAllRequestsShare() {
        RouteRequest request = prompt(2048, 7);
        Map<EndpointId, Integer> sent = new HashMap<>();
        for (int i = 0; i < 900; i++) {
            EndpointId target = first(router, request);
            router.recordSent(target, request).prefilled();
            sent.merge(target, 1, Integer::sum);
        }
        int most = sent.values().stream().mapToInt(n -> n).max().orElseThrow();
        assertTrue(most <= 1.5 * 100 + 0.2 / 0.003 + 1, "most " + most + " of 900: " + sent);
        assertEquals(9, sent.size());
    }

    @Test
    void ignoresIndexedBlocksAfterLostEventsOrALostCache() {
        RouteRequest request = prompt(8000, 7);
        EndpointId preferred = first(router, request);
        EndpointId holder = preferred.equals(id(8)) ? id(5) : id(8);
        router.cacheStored(holder, 1, request.blocks());
        router.cacheStored(holder, 5, new long[0]);
        assertEquals(holder, first(router, request), "indexed blocks stay valid for a while after a gap");
        ticker.advance(Duration.ofSeconds(11));
        assertNotEquals(holder, first(router, request));
        router.cacheStored(holder, 6, request.blocks());
        assertEquals(holder, first(router, request));
        router.setCondition(holder, EndpointCondition.UNAVAILABLE);
        router.setCondition(holder, EndpointCondition.SERVING);
        assertNotEquals(holder, first(router, request));
    }

    @Test
    void addsRequestsSentSinceTheLastReportToTheLoad() {
        for (int i = 0; i < 9; i++) {
            router.reportLoad(id(i), load(i == 6 ? 0 : 5, 99, 0));
        }
        ticker.advance(Duration.ofMillis(100));
        for (int i = 0; i < 40; i++) {
            RouteRequest request = prompt(512, 1000 + i);
            router.recordSent(first(router, request), request);
        }
        RouteRequest probe = prompt(512, 5000);
        SentRequest burst = router.recordSent(id(6), prompt(60_000, 9));
        assertTrue(everFirst(probe).stream().noneMatch(id(6)::equals));
        burst.ended();
        router.reportLoad(id(6), load(0, 99, 0));
        assertTrue(everFirst(probe).contains(id(6)));
    }

    private Set<EndpointId> everFirst(RouteRequest request) {
        Set<EndpointId> chosen = new java.util.TreeSet<>();
        for (int i = 0; i < 100; i++) {
            chosen.add(first(router, request));
        }
        return chosen;
    }

    @Test
    void prefersItsDomainAndSpillsOverWhenThatIsLoaded() {
        Set<EndpointId> near = Set.of(id(0), id(3), id(6));
        long local = 0;
        for (int i = 0; i < 300; i++) {
            local += near.contains(first(router, prompt(300, i))) ? 1 : 0;
        }
        assertTrue(local > 280, "only " + local + " of 300 stayed near");
        near.forEach(e -> router.reportLoad(e, load(20, 99, 20_000)));
        assertTrue(everFirst(prompt(300, 1)).stream().noneMatch(near::contains));
    }

    @Test
    void ignoresPendingLongPromptsWhenRoutingAShortOne() {
        for (int i = 0; i < 9; i++) {
            var pending = new ReportedLoad.Pending(i == 2 ? 0 : 40_000, 0, i == 2 ? 300_000 : 0);
            router.reportLoad(id(i), new ReportedLoad(ticker.nanos(), 1, 99, pending, 0));
        }
        assertTrue(everFirst(prompt(300, 1)).contains(id(2)));
        long medium = java.util.stream.IntStream.range(0, 90)
                .filter(i -> first(router, prompt(60_000, i)).equals(id(2)))
                .count();
        assertTrue(medium > 90 / 9, "the only idle endpoint for medium prompts got " + medium + " of 90");
        assertTrue(everFirst(prompt(100_000, 1)).stream().noneMatch(id(2)::equals));
    }

    @Test
    void ranksEndpointsWithoutRoomLast() {
        for (int i = 0; i < 8; i++) {
            router.reportLoad(id(i), load(2, 2, 0));
        }
        router.reportLoad(id(8), load(50, 99, 90_000));
        assertEquals(Set.of(id(8)), everFirst(prompt(300, 1)));
    }

    @Test
    void sendsAPinnedRequestFromEveryInstanceToTheSameEndpoint() {
        Router other = Router.of(RoutingSettings.in(FailureDomain.of("d2")), ticker, 99);
        for (int i = 8; i >= 0; i--) {
            FailureDomain domain = FailureDomain.of("d" + i % 3);
            other.putEndpoint(EndpointSpec.of(id(i), domain, Set.of(MODEL), i < 3 ? 2_000_000 : 450_000));
        }
        for (int i = 0; i < 50; i++) {
            RouteRequest request = prompt(1000, i).pinnedTo(Fingerprint.of("f" + i));
            EndpointId first = first(router, request);
            assertEquals(first, first(other, request));
            assertNotEquals(first, first(router, request.excluding(Set.of(first))));
        }
    }

    @Test
    void indexesABoundedNumberOfBlocks() {
        for (int i = 0; i < 3000; i++) {
            router.recordSent(id(i % 9), prompt(20_000, i));
        }
        assertTrue(router.indexedBlocks() <= 32_768);
        assertEquals(
                120,
                java.util.Arrays.stream(prompt(1_048_576, 1).blocks())
                        .filter(PromptBlocks::isSampled)
                        .count());
        assertEquals(
                List.of(3, 2),
                List.of(PromptBlocks.ofText("x".repeat(3500)).length, PromptBlocks.ofText("x".repeat(2048)).length));
    }
}
